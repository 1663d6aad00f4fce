#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::step;
using fleet::step_kind;

constexpr std::size_t endpoints = 4;
constexpr int crashes = 2; // One less than a part is held back after.

/// Endpoints in a failure domain each. Of all requests, the first ones crash their endpoints, one
/// is turned away since its endpoint is full, and all later ones are served.
class crashing_then_full_group {
public:
    explicit crashing_then_full_group(daemon_fixture& fixture)
    {
        for (std::size_t number = 0; number < endpoints; ++number) {
            endpoints_.at(number) = std::make_unique<fleet::endpoint_stand_in>(
                [this](const std::string& request, int) { return answer(request); });
            fixture.add("a" + std::to_string(number), "app", *endpoints_.at(number),
                        "z" + std::to_string(number));
        }
    }

    [[nodiscard]] int arrivals() const { return arrivals_; }

private:
    std::vector<step> answer(const std::string& request)
    {
        const int number = arrivals_++;
        if (number < crashes) {
            return {{step_kind::crash, "", std::chrono::minutes(1)}};
        }
        const bool full = number == crashes;
        return {{step_kind::send,
                 full ? fleet::signed_answer(request, 503, "", "Endivejunction-Not-Executed: 1\r\n")
                      : fleet::signed_answer(request, 200, "done")}};
    }

    std::atomic<int> arrivals_{0};
    std::array<std::unique_ptr<fleet::endpoint_stand_in>, endpoints> endpoints_;
};

/// The answer to a request that may run once, whose prompt has a shared part.
std::string ask(const daemon_fixture& at, const std::string& id)
{
    caller connection(at.listen_address());
    connection.send(request("POST", "/act/x", id, "prompt " + id,
                            "Endivejunction-Prompt-Prefix: 5c1e07a2:400,f1:250\r\n"));
    return connection.read_answer();
}

} // namespace

TEST_CASE("a request that a full endpoint turned away is sent on after two deaths with one of its "
          "parts")
{
    daemon_fixture fixture;
    const crashing_then_full_group group(fixture);
    fixture.configure_and_start(endpoints);
    for (int number = 0; number < crashes; ++number) {
        ask(fixture, "lost" + std::to_string(number));
        REQUIRE(daemon_fixture::wait_until([&] {
            return fixture.metrics().find("endivejunction_deaths_seen_total " +
                                          std::to_string(number + 1) + "\n") != std::string::npos;
        }));
    }
    CHECK(ask(fixture, "turned-away").starts_with("HTTP/1.1 200 "));
    CHECK(group.arrivals() == crashes + 2);
}

} // namespace ej::forward_tests
