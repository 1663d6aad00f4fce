#include "caller.h"
#include "daemon_fixture.h"

#include <fleet/endpoint_stand_in.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::step;
using fleet::step_kind;
using std::chrono::milliseconds;

constexpr int engines = 9;
constexpr int times_sent = 5;
// A request that crashes whatever runs it may crash three endpoints, and may be sent on three
// times later.
constexpr int most_runs = 6;
const std::string crashing = "crashing";

/// Engines that crash, for a while, with one request: after an event each, or before the first.
class crashing_engines {
public:
    explicit crashing_engines(daemon_fixture& fixture, bool after_output)
        : fixture_(fixture), after_output_(after_output)
    {
        for (int number = 0; number < engines; ++number) {
            engines_.push_back(std::make_unique<fleet::endpoint_stand_in>(
                [this](const std::string& request, int) { return answer(request); },
                [this, number] { register_next(number); }));
            register_next(number);
        }
    }

    /// Number of times that the crashing request reached an engine.
    [[nodiscard]] int runs() const { return runs_; }

    [[nodiscard]] bool wait_until_back() const
    {
        return daemon_fixture::wait_until([this] { return down_ == 0; }) &&
               fixture_.wait_for_endpoints(engines);
    }

private:
    std::vector<step> answer(const std::string& request)
    {
        const auto last = fleet::header_value(request, "Last-Event-Id");
        const int next = last.empty() ? 1 : std::stoi(last) + 1;
        if (!request.ends_with(crashing)) {
            return {{step_kind::send,
                     fleet::stream_head(request) + fleet::event_chunk(next) + fleet::last_chunk()}};
        }
        ++runs_;
        ++down_;
        const auto output =
            after_output_ ? fleet::stream_head(request) + fleet::event_chunk(next) : std::string();
        return {{step_kind::send, output},
                {step_kind::wait, "", milliseconds(20)},
                {step_kind::crash, "", milliseconds(50)}};
    }

    // A crashed engine is back under a new name.
    void register_next(int number)
    {
        const int start = starts_++;
        fixture_.add("e" + std::to_string(start), "llm", *engines_.at(std::size_t(number)),
                     "z" + std::to_string(number % 3), "ready", start + 1);
        if (start >= engines) {
            --down_;
        }
    }

    daemon_fixture& fixture_;
    bool after_output_;
    std::atomic<int> runs_{0};
    std::atomic<int> down_{0};
    std::atomic<int> starts_{0};
    std::vector<std::unique_ptr<fleet::endpoint_stand_in>> engines_;
};

std::string ask(const daemon_fixture& at, const std::string& id, const std::string& body)
{
    caller connection(at.listen_address());
    connection.send(request("POST", "/gen/x", id, body));
    return connection.read_to_end();
}

} // namespace

// BUDGET: only a run without output was evidence, so that a stream crashed engines without end.
TEST_CASE("a stream that crashes its engines is refused after a few of them, wherever its output "
          "ends")
{
    const bool after_output = GENERATE(true, false);
    INFO((after_output ? "after an event" : "before the first event"));
    daemon_fixture fixture;
    const crashing_engines group(fixture, after_output);
    fixture.configure_and_start(engines);
    std::string last;
    for (int number = 0; number < times_sent; ++number) {
        last = ask(fixture, "id" + std::to_string(number), crashing);
    }
    CHECK(group.runs() <= most_runs);
    CHECK(last.starts_with("HTTP/1.1 503 "));
    CHECK(ask(fixture, "sound", "another body").find("id: 1\n") != std::string::npos);
}

} // namespace ej::forward_tests
