#include "caller.h"
#include "daemon_fixture.h"
#include "daemon_pair.h"
#include "engine_group.h"
#include "prompt_outcome.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

namespace ej::forward_tests {

namespace {

constexpr int requests_sent = 12;
constexpr int crashes_until_known = 5;
constexpr int arrivals_after = 3; // Allowed once the part is known to crash engines.
constexpr int most_arrivals = crashes_until_known + arrivals_after;
const std::string crashing = "dead0001";
const std::string shared = "5c1e07a2";
const std::string other = "91bd3f06";

/// Sends a request whose prompt has `parts` and a last part of its own; no two requests are alike.
prompt_outcome ask(const daemon_fixture& at, const std::vector<std::string>& parts)
{
    static std::atomic<int> asked{0};
    const auto number = std::to_string(++asked);
    std::string list;
    for (const std::string& part : parts) {
        list += part;
        list += ":400,";
    }
    prompt_outcome result{"id" + number, {}};
    caller connection(at.listen_address());
    connection.send(request("POST", "/gen/x", result.id, "prompt " + number,
                            "Endivejunction-Token-Usage: 5000,72\r\n"
                            "Endivejunction-Prompt-Prefix: " +
                                list + "f" + number + ":250\r\n"));
    result.answer = connection.read_answer();
    return result;
}

/// Waits until all engines are back and `daemons`, which follow the store of the first one, know
/// their new incarnations.
void wait_until_back(const engine_group& engines, const std::vector<daemon_fixture*>& daemons)
{
    static std::atomic<int> version{1};
    REQUIRE(engines.wait_until_back());
    // Changes of the store are applied in their order.
    const auto marker = ++version;
    daemons.front()->configure(marker);
    const auto line = "endivejunction_configuration_version " + std::to_string(marker) + "\n";
    for (const daemon_fixture* const one : daemons) {
        REQUIRE(daemon_fixture::wait_until(
            [&] { return one->metrics().find(line) != std::string::npos; }));
    }
}

/// Sends a request with `parts` once all engines are back. A refused request must not have run.
prompt_outcome ask_when_back(const engine_group& engines,
                             const std::vector<daemon_fixture*>& daemons, const daemon_fixture& at,
                             const std::vector<std::string>& parts)
{
    wait_until_back(engines, daemons);
    auto result = ask(at, parts);
    if (result.refused()) {
        CHECK(engines.arrivals_of(result.id) == 0);
    }
    return result;
}

/// Sends requests with a crashing part until one is refused; false after `requests_sent`.
bool ask_until_refused(const engine_group& engines, const std::vector<daemon_fixture*>& daemons,
                       const daemon_fixture& at)
{
    for (int number = 0; number < requests_sent; ++number) {
        if (ask_when_back(engines, daemons, at, {shared, crashing}).refused()) {
            return true;
        }
    }
    return false;
}

/// Sends requests that share parts at once and crashes the engines of `domain` before their output.
std::vector<prompt_outcome> ask_while_crashing(engine_group& engines, const daemon_fixture& at,
                                               const std::string& domain)
{
    constexpr int requests_at_once = 9;
    const auto before = engines.arrivals();
    std::vector<std::future<prompt_outcome>> running(requests_at_once);
    std::ranges::generate(running, [&] {
        return std::async(std::launch::async, [&] { return ask(at, {shared, other}); });
    });
    // A stream may leave its engine for another one if this machine is slow.
    REQUIRE(daemon_fixture::wait_until(
        [&] { return engines.arrivals() >= before + requests_at_once; }));
    engines.crash_domain(domain);
    std::vector<prompt_outcome> outcomes;
    std::ranges::transform(running, std::back_inserter(outcomes),
                           [](auto& one) { return one.get(); });
    return outcomes;
}

} // namespace

TEST_CASE("requests that share a part on which engines crash and differ otherwise are refused "
          "after a few crashes")
{
    daemon_fixture fixture;
    const engine_group engines(fixture, {crashing});
    fixture.configure_and_start(engine_group::count);
    prompt_outcome last;
    for (int number = 0; number < requests_sent; ++number) {
        const auto parts =
            number % 2 == 0 ? std::vector{shared, crashing} : std::vector{crashing, other};
        last = ask_when_back(engines, {&fixture}, fixture, parts);
    }
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
    CHECK(last.refused());
}

TEST_CASE("a part is held back on which engines end their connections in an orderly way")
{
    daemon_fixture fixture;
    engine_group engines(fixture, {crashing});
    engines.send_heads_before_crashes();
    fixture.configure_and_start(engine_group::count);
    prompt_outcome last;
    for (int number = 0; number < requests_sent; ++number) {
        last = ask_when_back(engines, {&fixture}, fixture, {shared, crashing});
    }
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
    CHECK(last.refused());
}

TEST_CASE("a crashing part is held back in requests whose list of parts cannot be read as a whole")
{
    constexpr int many = 80;
    const bool long_list = GENERATE(false, true);
    std::vector<std::string> parts{shared, crashing, "no digest"};
    if (long_list) {
        parts.assign({shared, crashing});
        for (int number = 0; number < many; ++number) {
            parts.push_back("b" + std::to_string(number));
        }
    }
    daemon_fixture fixture;
    const engine_group engines(fixture, {crashing});
    fixture.configure_and_start(engine_group::count);
    prompt_outcome last;
    for (int number = 0; number < requests_sent; ++number) {
        last = ask_when_back(engines, {&fixture}, fixture, parts);
    }
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
    CHECK(last.refused());
    CHECK(fixture.metrics().find("endivejunction_prompt_parts_unread_total ") != std::string::npos);
}

TEST_CASE("sound requests that share their caller and other parts with crashing ones are served at "
          "the first attempt")
{
    const auto parts = GENERATE(std::vector{shared, crashing}, std::vector{crashing, shared});
    daemon_fixture fixture;
    const engine_group engines(fixture, {crashing});
    fixture.configure_and_start(engine_group::count);
    for (int number = 0; number < requests_sent; ++number) {
        const auto sound = ask_when_back(engines, {&fixture}, fixture, {shared});
        CHECK(sound.served());
        CHECK(engines.arrivals_of(sound.id) == 1);
        ask_when_back(engines, {&fixture}, fixture, parts);
        // Engines that have just crashed are not back yet.
        CHECK(ask(fixture, {shared}).served());
    }
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
}

TEST_CASE("a sound part that was seen only beside a crashing one does not stay refused")
{
    daemon_fixture fixture;
    const engine_group engines(fixture, {crashing});
    fixture.configure_and_start(engine_group::count);
    CHECK(ask_until_refused(engines, {&fixture}, fixture));
    wait_until_back(engines, {&fixture});
    CHECK(daemon_fixture::wait_until([&] { return ask(fixture, {shared}).served(); }));
    for (int number = 0; number < requests_sent; ++number) {
        CHECK(ask(fixture, {shared}).served());
    }
    CHECK(ask(fixture, {shared, crashing}).refused());
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
}

TEST_CASE("a trial that reaches no engine does not keep a sound part refused")
{
    daemon_fixture fixture;
    engine_group engines(fixture, {crashing});
    fixture.configure_and_start(engine_group::count);
    CHECK(ask_until_refused(engines, {&fixture}, fixture));
    wait_until_back(engines, {&fixture});
    engines.unregister();
    REQUIRE(fixture.wait_for_endpoints(0));
    CHECK(ask(fixture, {shared}).refused());
    engines.register_again();
    REQUIRE(fixture.wait_for_endpoints(engine_group::count));
    CHECK(ask(fixture, {shared}).served());
}

TEST_CASE(
    "requests that are refused since a part is held back are told to wait longer as time goes on")
{
    constexpr double usual_pause_s = 0.2;
    daemon_fixture fixture;
    const engine_group engines(fixture, {crashing});
    fixture.configure_and_start(engine_group::count);
    REQUIRE(ask_until_refused(engines, {&fixture}, fixture));
    CHECK(daemon_fixture::wait_until([&] {
        const auto last = ask(fixture, {shared, crashing});
        return last.refused() && last.retry_after_s() > 4 * usual_pause_s;
    }));
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
}

TEST_CASE("requests with a crashing part leave a steady flow of sound ones served")
{
    daemon_fixture fixture;
    const engine_group engines(fixture, {crashing});
    fixture.configure_and_start(engine_group::count);
    std::atomic<bool> known{false};
    std::atomic<int> failed{0};
    const auto send_sound_requests = [&](const std::stop_token& ending) {
        while (!ending.stop_requested()) {
            const bool was_known = known;
            failed += !ask(fixture, {shared}).served() && was_known ? 1 : 0;
        }
    };
    constexpr int flows = 4;
    std::vector<std::jthread> sound;
    std::generate_n(std::back_inserter(sound), flows,
                    [&] { return std::jthread(send_sound_requests); });
    CHECK(ask_until_refused(engines, {&fixture}, fixture));
    wait_until_back(engines, {&fixture});
    known = true;
    for (int number = 0; number < requests_sent; ++number) {
        ask_when_back(engines, {&fixture}, fixture, {shared, crashing});
    }
    sound.clear(); // Stops and joins.
    CHECK(failed == 0);
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
}

TEST_CASE("a part on which engines crashed at one daemon is held back at another")
{
    daemon_pair daemons;
    const engine_group engines(daemons.first, {crashing});
    daemons.start();
    REQUIRE(daemons.wait_until_connected(engine_group::count));
    CHECK(ask_until_refused(engines, daemons.all, daemons.first));
    CHECK(ask_until_refused(engines, daemons.all, daemons.second));
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
    CHECK(daemon_fixture::wait_until([&] { return ask(daemons.second, {shared}).served(); }));
}

TEST_CASE("crashes that are seen by two daemons in turn hold their common part back at both")
{
    daemon_pair daemons;
    const engine_group engines(daemons.first, {crashing});
    daemons.start();
    REQUIRE(daemons.wait_until_connected(engine_group::count));
    std::vector<prompt_outcome> last(daemons.all.size());
    for (int number = 0; number < requests_sent; ++number) {
        for (std::size_t daemon = 0; daemon < daemons.all.size(); ++daemon) {
            last[daemon] = ask_when_back(engines, daemons.all, *daemons.all[daemon], {crashing});
        }
    }
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
    CHECK(std::ranges::all_of(last, &prompt_outcome::refused));
}

TEST_CASE("a daemon that restarts learns from its neighbour which part crashes engines")
{
    daemon_pair daemons;
    const engine_group engines(daemons.first, {crashing});
    daemons.start();
    REQUIRE(daemons.wait_until_connected(engine_group::count));
    daemons.second.daemon.reset();
    CHECK(ask_until_refused(engines, {&daemons.first}, daemons.first));
    daemons.second.start();
    REQUIRE(daemons.wait_until_connected(engine_group::count));
    CHECK(ask_until_refused(engines, daemons.all, daemons.second));
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
}

TEST_CASE("a part on which engines crash is still held back after all daemons restart")
{
    daemon_pair daemons;
    const engine_group engines(daemons.first, {crashing});
    daemons.start();
    REQUIRE(daemons.wait_until_connected(engine_group::count));
    CHECK(ask_until_refused(engines, daemons.all, daemons.first));
    daemons.restart();
    REQUIRE(daemons.wait_until_connected(engine_group::count));
    for (const daemon_fixture* const one : daemons.all) {
        CHECK(ask_until_refused(engines, daemons.all, *one));
    }
    CHECK(engines.arrivals_with_part(crashing) <= most_arrivals);
}

TEST_CASE("two parts on which engines crash at the same time are both held back")
{
    const std::vector<std::string> both{crashing, "dead0002"};
    daemon_fixture fixture;
    const engine_group engines(fixture, {both.begin(), both.end()});
    fixture.configure_and_start(engine_group::count);
    std::vector<prompt_outcome> last(both.size());
    for (int number = 0; number < requests_sent; ++number) {
        for (std::size_t part = 0; part < both.size(); ++part) {
            last[part] = ask_when_back(engines, {&fixture}, fixture, {shared, both[part]});
        }
        CHECK(ask_when_back(engines, {&fixture}, fixture, {shared}).served());
    }
    for (std::size_t part = 0; part < both.size(); ++part) {
        INFO(both[part]);
        CHECK(engines.arrivals_with_part(both[part]) <= most_arrivals);
        CHECK(last[part].refused());
    }
}

TEST_CASE("a part that many requests share is not held back when the engines of one failure domain "
          "crash together")
{
    daemon_fixture fixture;
    engine_group engines(fixture, {}, std::chrono::milliseconds(300));
    fixture.configure_and_start(engine_group::count);
    for (const auto* const domain : {"z1", "z2", "z3", "z1", "z1"}) {
        wait_until_back(engines, {&fixture});
        const auto outcomes = ask_while_crashing(engines, fixture, domain);
        CHECK(std::ranges::all_of(outcomes, &prompt_outcome::served));
    }
    wait_until_back(engines, {&fixture});
    engines.answer_at_once();
    for (int number = 0; number < requests_sent; ++number) {
        const auto later = ask(fixture, {shared, other});
        CHECK(later.served());
        CHECK(engines.arrivals_of(later.id) == 1);
    }
}

} // namespace ej::forward_tests
