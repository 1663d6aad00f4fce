// A streamed request crashes each engine that runs it, after its first events. It comes again.

#include "../support/caller.h"
#include "../support/config.h"
#include "../support/daemon.h"
#include "../support/store.h"
#include "../support/worker.h"

#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace {

using namespace review;

constexpr const char* service = "reader-llm";
constexpr const char* crashing_body = "this prompt crashes the engine";
constexpr int slots = 64;
constexpr int engines_of_a_zone = 4;
constexpr int events = 20;
constexpr int events_before_crash = 1;
constexpr milliseconds event_interval{20};
constexpr milliseconds down_time{2'000};
constexpr milliseconds return_after{2'500};
constexpr int turns = 12;
constexpr milliseconds contact{3'000}; // bounds.contactMs
constexpr int allowed_retries = 3;

/// What became of the crashing request.
class run_log {
public:
    void sent(const std::string& id)
    {
        const std::scoped_lock lock(mutex_);
        sent_[id] = steady::now();
    }

    void reached(const std::string& id)
    {
        const std::scoped_lock lock(mutex_);
        reached_.insert(id);
    }

    void crashed()
    {
        const std::scoped_lock lock(mutex_);
        if (++crashes_ == 3) {
            third_crash_ = steady::now();
        }
    }

    /// The crashes, and the requests that reached workers and were sent over `contact` after the
    /// third of them.
    std::pair<int, int> summary()
    {
        const std::scoped_lock lock(mutex_);
        int late = 0;
        for (const auto& id : reached_) {
            late += crashes_ >= 3 && sent_[id] > third_crash_ + contact ? 1 : 0;
        }
        return {crashes_, late};
    }

private:
    std::mutex mutex_;
    std::map<std::string, steady::time_point> sent_;
    std::set<std::string> reached_;
    int crashes_ = 0;
    steady::time_point third_crash_;
};

class engine final : public worker {
public:
    engine(const std::string& zone, int number, store& platform, record& log, run_log& runs,
           bool crashes)
        : worker({service, zone, slots}, platform, log,
                 "reader-" + zone + "-" + std::to_string(number)),
          runs_(runs), crashes_(crashes), supervisor_([this] { restart_after_crashes(); })
    {
    }

    ~engine() override
    {
        over_ = true;
        supervisor_.join();
        stop();
    }

protected:
    bool answer(const message& request, connection& peer) override
    {
        const auto id = request.value("Endivejunction-Attempt-Id");
        const auto last = request.value("Last-Event-Id");
        const bool crashing = request.body == crashing_body;
        if (!request.value("Kv-From").empty()) {
            return peer.write(rejection(request, 503)); // This engine keeps no copies.
        }
        if (crashing) {
            runs_.reached(id);
            log_.line(name() + " runs the crashing request " + id +
                      (last.empty() ? "" : " after event " + last));
        }
        if (!peer.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        "Endivejunction-Attempt-Id: " +
                        id +
                        "\r\nEndivejunction-Response-Signature: proof\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        const int first = std::atoi(last.c_str()) + 1;
        for (int number = first; number <= events; ++number) {
            std::this_thread::sleep_for(event_interval);
            if (crashing && crashes_ && number == first + events_before_crash) {
                runs_.crashed();
                crash_due_ = true;
            }
            while (crash_due_ && !peer.ended() && !over_) {
                std::this_thread::sleep_for(milliseconds(1));
            }
            const auto text = "id: " + std::to_string(number) + "\ndata: words\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx", text.size());
            if (peer.ended() || peer.closed_by_peer() ||
                !peer.write(size + std::string("\r\n") + text + "\r\n")) {
                return false;
            }
        }
        return peer.write("0\r\n\r\n");
    }

private:
    void restart_after_crashes()
    {
        while (!over_) {
            std::this_thread::sleep_for(milliseconds(2));
            if (!crash_due_) {
                continue;
            }
            crash();
            std::this_thread::sleep_for(down_time);
            crash_due_ = false;
            start();
        }
    }

    run_log& runs_;
    const bool crashes_;
    std::atomic<bool> crash_due_{false};
    std::atomic<bool> over_{false};
    std::thread supervisor_;
};

std::string engine_text(const std::string& name)
{
    return R"({"name":")" + name +
           R"(","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,)"
           R"("engine":{"slots":64,"kvTokens":55000,"kvBytes":163840,"linkMbps":740000.0,)"
           R"("moves":true,"backups":true,"stride":6,"most":12,"models":[{"name":"m"}]}})";
}

call draft(const std::string& id, const std::string& body)
{
    return {"POST",
            "/draft/7",
            id,
            api_key,
            body,
            25'000,
            "Endivejunction-Model: m\r\nEndivejunction-Token-Usage: 200,120\r\n"
            "Endivejunction-Prompt-Prefix: 5c1e07a2:100," +
                (body == crashing_body ? std::string("e4402b7d") : id) + ":100\r\n"};
}

} // namespace

int main(int argc, char** argv)
{
    const bool trouble = argc > 2 && std::string(argv[2]) == "1";
    const std::string folder = argv[1];
    record log(std::getenv("RECORD"));
    store platform(free_port(), log);
    if (!platform.open()) {
        return 2;
    }
    platform.put("op/config",
                 config_text(route_text("draft", "streaming", service, 25'000, 4'500, 5,
                                        R"(,"sticky":true,"resumable":true,"gapAimMs":700)"),
                             engine_text(service)));
    run_log runs;
    std::vector<std::unique_ptr<engine>> engines;
    for (const std::string zone : {"a", "b", "c"}) {
        for (int number = 1; number <= engines_of_a_zone; ++number) {
            engines.push_back(std::make_unique<engine>(zone, number, platform, log, runs, trouble));
            if (!engines.back()->start()) {
                std::_Exit(2);
            }
        }
    }
    std::vector<std::unique_ptr<entry_daemon>> daemons;
    for (const std::string zone : {"a", "b", "c"}) {
        daemons.push_back(std::make_unique<entry_daemon>("edge-" + zone, zone, platform.port(), 195,
                                                         folder, log));
        daemons.back()->start();
    }
    for (const auto& one : daemons) {
        if (!one->wait_ready(milliseconds(8'000))) {
            std::_Exit(2);
        }
    }
    std::this_thread::sleep_for(milliseconds(3'500));

    std::atomic<bool> over{false};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> callers;
    for (const auto& one : daemons) {
        callers.emplace_back([&, &to = *one] {
            std::mt19937 random(std::random_device{}());
            while (!over) {
                std::this_thread::sleep_for(
                    milliseconds(std::uniform_int_distribution<>(200, 600)(random)));
                const auto id = new_id();
                const auto answer = send_call(to.front(), draft(id, "a sound body " + id));
                const bool whole = answer && answer->status() == 200 && answer->complete;
                served += whole ? 1 : 0;
                lost += whole ? 0 : 1;
                if (!whole) {
                    log.line("another request, " + id + ", gets " +
                             std::to_string(answer ? answer->status() : 0) +
                             (answer && answer->complete ? "" : ", not complete"));
                }
            }
        });
    }
    for (int turn = 0; turn < turns; ++turn) {
        const auto& to = *daemons[static_cast<std::size_t>(turn) % daemons.size()];
        const auto id = new_id();
        log.line("the crashing request comes as " + id + " to " + to.name());
        runs.sent(id);
        const auto answer = send_call(to.front(), draft(id, crashing_body));
        log.line("the crashing request " + id + " gets " +
                 std::to_string(answer ? answer->status() : 0) +
                 (answer && answer->complete ? "" : ", not complete"));
        std::this_thread::sleep_for(return_after);
    }
    over = true;
    for (auto& one : callers) {
        one.join();
    }
    const auto [crashes, retries] = runs.summary();
    char text[200];
    std::snprintf(text, sizeof text,
                  "crashes %d; retries that reached workers over %lld ms after the third crash: %d "
                  "(allowed %d); other requests served %d, lost %d",
                  crashes, static_cast<long long>(contact.count()), retries, allowed_retries,
                  served.load(), lost.load());
    log.line(text);
    daemons.clear();
    std::puts(text);
    std::fflush(stdout);
    if (served == 0 || (trouble && crashes < 3)) {
        std::_Exit(2);
    }
    std::_Exit(retries > allowed_retries ? 1 : 0);
}
