#include "process_usage.h"

#include <harness/event_stream.h>
#include <harness/fleet.h>
#include <harness/generation_caller.h>
#include <harness/http_client.h>
#include <harness/line_reader.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace ej::measure {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::duration;

constexpr int idle_streams = 1'000;
constexpr int busy_streams = 40;
constexpr std::uint64_t busy_tokens = 2'500;
constexpr std::uint64_t paced_tokens = 400;
constexpr int paced_streams = 200;
constexpr std::uint64_t paced_stream_tokens = 250;
constexpr int callers = 8;
constexpr int calls_each = 500;
const std::string key = "wharf-key";

double seconds_since(clock::time_point from)
{
    return duration<double>(clock::now() - from).count();
}

harness::daemon_settings daemon_with(const std::vector<std::string>& classes)
{
    harness::daemon_settings settings{"daemon", "recife", {}};
    for (const auto& one : classes) {
        settings.flags.insert(settings.flags.end(), {"--class", one});
    }
    return settings;
}

harness::stand_in_settings engine(const std::string& name, const std::string& tokens_per_second)
{
    return {"engine",
            name,
            "recife",
            name,
            {"--slots", "4096", "--tokens-per-second", tokens_per_second, "--prefill-ms", "0"}};
}

void in_parallel(int count, const std::function<void(int)>& action)
{
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        threads.emplace_back([&action, i] { action(i); });
    }
    std::ranges::for_each(threads, [](std::thread& one) { one.join(); });
}

harness::generation_call generation(const std::string& work_class, const std::string& prompt,
                                    std::uint64_t tokens)
{
    return {key, prompt, work_class, prompt, tokens};
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * part)];
}

/// Makes one short generation call and reads its answer to the end; does not check the answer.
void warm_up(const harness::node& daemon, const std::string& work_class)
{
    harness::generation_caller caller(generation(work_class, "warm up " + work_class, 2));
    caller.start(daemon.caller);
    caller.read_to_end();
}

void measure_idle(const harness::node& daemon)
{
    constexpr auto period = std::chrono::seconds(10);
    const auto before = usage_of(daemon.process->id());
    std::this_thread::sleep_for(period);
    const auto after = usage_of(daemon.process->id());
    std::printf("idle for 10 s: %.3f s of a processor, %.1f wake-ups a second, %.1f MB resident\n",
                after.processor_seconds - before.processor_seconds,
                static_cast<double>(after.wakeups - before.wakeups) / 10.0,
                static_cast<double>(after.resident_bytes) / 1e6);
}

/// Reads `streams` concurrent streams of `tokens` tokens each; prints the daemon's processor time
/// per token.
void measure_relay(const harness::node& daemon, const std::string& work_class, int streams,
                   std::uint64_t tokens)
{
    const auto before = usage_of(daemon.process->id());
    const auto began = clock::now();
    in_parallel(streams, [&](int i) {
        harness::generation_caller caller(
            generation(work_class, work_class + " " + std::to_string(i), tokens));
        caller.start(daemon.caller);
        caller.read_to_end();
    });
    const auto took = seconds_since(began);
    const auto used = usage_of(daemon.process->id()).processor_seconds - before.processor_seconds;
    const double all = streams * static_cast<double>(tokens);
    std::printf("%s relay: %d streams, %.0f tokens a second, %.2f us of a processor a token\n",
                work_class.c_str(), streams, all / took, used / all * 1e6);
}

void measure_requests(const harness::node& daemon)
{
    const auto before = usage_of(daemon.process->id());
    const auto began = clock::now();
    in_parallel(callers, [&](int) {
        for (int i = 0; i < calls_each; ++i) {
            const harness::http_call call{
                "POST",
                "/v1/requests",
                {{"Authorization", "Bearer " + key}},
                R"({"class":"lookups","path":"/berths","body":{"berth":1}})"};
            (void)harness::send(daemon.caller, call);
        }
    });
    const auto took = seconds_since(began);
    const auto used = usage_of(daemon.process->id()).processor_seconds - before.processor_seconds;
    constexpr double calls = callers * static_cast<double>(calls_each);
    std::printf("short requests, a connection each: %.0f a second, %.0f us of a processor each\n",
                calls / took, used / calls * 1e6);
}

/// Arrival time of each token of a stream, indexed by token offset.
std::vector<clock::time_point> arrivals(harness::generation_caller& caller, std::uint64_t tokens)
{
    std::vector<clock::time_point> times;
    for (std::uint64_t next = 1; next <= tokens; ++next) {
        caller.read_until(next);
        times.push_back(clock::now());
    }
    return times;
}

/// Reads the same attempt directly from the engine and through the daemon; the difference of the
/// arrival times of a token is the latency that the daemon adds.
void measure_added_latency(const harness::node& daemon, const harness::node& engine_node)
{
    harness::generation_caller through(generation("paced", "latency", paced_tokens));
    through.start(daemon.caller);
    through.read_until(1);
    const auto request = through.answer().request;
    std::vector<clock::time_point> direct_times(paced_tokens);
    std::vector<clock::time_point> daemon_times;
    std::thread direct([&] {
        const nlohmann::json position{{"request", request}, {"attempt", 1}, {"offset", 1}};
        const harness::http_call call{"POST", "/attach", {}, position.dump()};
        harness::read_lines(engine_node.caller, call, [&](const std::string& line) {
            const auto parsed = nlohmann::json::parse(line, nullptr, false);
            if (parsed.is_object() && parsed.contains("tokens")) {
                const auto offset = parsed["offset"].get<std::uint64_t>();
                for (std::uint64_t i = 0; i < parsed["tokens"].size(); ++i) {
                    direct_times.at(offset + i) = clock::now();
                }
            }
        });
    });
    daemon_times = arrivals(through, paced_tokens);
    direct.join();
    std::vector<double> added;
    constexpr std::uint64_t skipped = 20;
    for (std::uint64_t i = skipped; i < paced_tokens; ++i) {
        added.push_back(duration<double, std::milli>(daemon_times[i] - direct_times[i]).count());
    }
    std::printf("added latency a token: p50 %.3f ms, p99 %.3f ms (%zu tokens)\n",
                percentile(added, 0.5), percentile(added, 0.99), added.size());
}

void measure_idle_streams(const harness::node& daemon)
{
    const auto before = usage_of(daemon.process->id());
    std::vector<std::unique_ptr<harness::generation_caller>> streams;
    for (int i = 0; i < idle_streams; ++i) {
        streams.push_back(std::make_unique<harness::generation_caller>(
            generation("slow", "idle " + std::to_string(i), 1'000)));
        streams.back()->start(daemon.caller);
    }
    const auto after = usage_of(daemon.process->id());
    std::printf("open streams: %d, %.1f KB resident each\n", idle_streams,
                static_cast<double>(after.resident_bytes - before.resident_bytes) / idle_streams /
                    1e3);
}

void run()
{
    harness::fleet fleet;
    fleet.start(engine("fast-model", "20000"));
    const auto& paced = fleet.start(engine("paced-model", "50"));
    fleet.start(engine("slow-model", "0.5"));
    fleet.start(harness::stand_in_settings{
        "application", "dispatch-1", "recife", "dispatch", {"--slots", "64", "--service-ms", "0"}});
    const auto& daemon =
        fleet.start(daemon_with({"fast:generation:fast-model", "paced:generation:paced-model",
                                 "slow:generation:slow-model", "lookups:idempotent:dispatch"}));
    warm_up(daemon, "paced");
    measure_idle(daemon);
    measure_added_latency(daemon, paced);
    measure_relay(daemon, "fast", busy_streams, busy_tokens);
    // One token per line, as engines at the target load send them: measures the cost of one event,
    // not of a batch.
    measure_relay(daemon, "paced", paced_streams, paced_stream_tokens);
    measure_requests(daemon);
    measure_idle_streams(daemon);
}

} // namespace

} // namespace ej::measure

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    try {
        ej::measure::run();
        return 0;
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}
