#include <suspects/digest_of.h>
#include <suspects/independent_bursts_policy.h>
#include <suspects/independent_deaths_policy.h>
#include <suspects/isolate_then_refuse_policy.h>
#include <suspects/part_table.h>
#include <suspects/suspect_table.h>
#include <suspects/total_deaths_policy.h>
#include <suspects/trial_pause.h>
#include <suspects/unanswered_deaths_policy.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ej::suspects {

namespace {

using namespace std::chrono_literals;

constexpr part_digest deadly{1};
constexpr part_digest shared{2};
constexpr part_digest rare{3};

const core::instant start = core::instant{} + 1h;

core::duration owns_all(part_digest /*part*/)
{
    return {};
}

core::duration owns_none(part_digest /*part*/)
{
    return 24h;
}

std::unique_ptr<part_table> make_table()
{
    return std::make_unique<part_table>(std::make_unique<independent_deaths_policy>());
}

part_death death(int number, const std::string& domain, std::vector<part_digest> parts)
{
    std::ranges::sort(parts);
    return {{core::endpoint_id("e" + std::to_string(number)), core::incarnation_id("1")},
            core::failure_domain_id(domain),
            std::move(parts)};
}

verdict verdict_of(part_table& table, std::vector<part_digest> parts, core::instant now,
                   const part_table::trial_delay& owns = owns_none)
{
    return table.evaluate(parts, owns, now).how;
}

/// Evaluates a request; if it is a trial, its request reaches an endpoint.
verdict try_part(part_table& table, const std::vector<part_digest>& parts, core::instant now,
                 const part_table::trial_delay& owns = owns_all)
{
    const auto found = table.evaluate(parts, owns, now);
    if (found.how == verdict::isolate) {
        table.begin_trial(found.held, now);
    }
    return found.how;
}

/// Records deaths of `parts` two seconds apart, then reviews. Returns the time of the review.
core::instant crash(part_table& table, int deaths, const std::vector<part_digest>& parts,
                    core::instant from = start)
{
    for (int number = 0; number < deaths; ++number) {
        table.record_death(death(number, "d" + std::to_string(number % 2), parts), from);
        from += 2s;
    }
    table.review(from);
    return from;
}

} // namespace

TEST_CASE("a digest of the whole request lets each request with a deadly part crash an endpoint")
{
    suspect_table requests(std::make_unique<isolate_then_refuse_policy>());
    auto parts = make_table();
    const core::workspace_id workspace("w");
    int runs_by_digest = 0;
    int runs_by_part = 0;
    core::instant now = start;
    for (int number = 0; number < 50; ++number) {
        const auto digest = digest_of(workspace, "request " + std::to_string(number));
        const auto died = death(number, "d" + std::to_string(number % 3), {deadly});
        if (requests.evaluate(digest, now) == verdict::run) {
            ++runs_by_digest;
            requests.record_death({died.death, {digest}}, now);
        }
        if (verdict_of(*parts, {deadly, shared}, now) == verdict::run) {
            ++runs_by_part;
            parts->record_death(died, now);
        }
        now += 500ms;
        parts->review(now);
    }
    CHECK(runs_by_digest == 50);
    CHECK(runs_by_part == 3);
}

TEST_CASE("a part that crashes endpoints is held back and its sound companions are served")
{
    auto table = make_table();
    core::instant now = start;
    for (int number = 0; number < 4; ++number) {
        table->record_death(death(number, "d" + std::to_string(number), {deadly, shared, rare}),
                            now);
        now += 500ms;
        table->record_output(std::vector{shared, rare}, now);
        table->review(now);
    }
    CHECK(verdict_of(*table, {shared, deadly}, now) == verdict::refuse);
    CHECK(verdict_of(*table, {shared, rare}, now) == verdict::run);
    CHECK(table->held(now).size() == 1);
}

TEST_CASE("a part is held back whose first deaths were more than are remembered and in one burst")
{
    auto parts = make_table();
    constexpr int deaths_at_once = 20;
    for (int number = 0; number < deaths_at_once; ++number) {
        parts->record_death(death(number, "d" + std::to_string(number % 2), {deadly}), start);
    }
    CHECK(parts->review(start + 1s).empty());
    for (int number = 0; number < deaths_at_once; ++number) {
        parts->record_death(death(100 + number, "d" + std::to_string(number % 2), {deadly}),
                            start + (2 + number) * 1s);
    }
    parts->review(start + 30s);
    CHECK(verdict_of(*parts, {deadly}, start + 30s) == verdict::refuse);
}

TEST_CASE("two deadly parts at once are both held back")
{
    auto table = make_table();
    constexpr part_digest second{9};
    core::instant now = start;
    for (int number = 0; number < 8; ++number) {
        const auto part = number % 2 == 0 ? deadly : second;
        table->record_death(death(number, "d" + std::to_string(number % 3), {shared, part}), now);
        now += 700ms;
        table->record_output(std::vector{shared}, now);
        table->review(now);
    }
    CHECK(verdict_of(*table, {deadly}, now) == verdict::refuse);
    CHECK(verdict_of(*table, {second}, now) == verdict::refuse);
    CHECK(verdict_of(*table, {shared}, now) == verdict::run);
}

TEST_CASE("a rack that crashes as a whole does not get the parts that ran there held back")
{
    auto table = make_table();
    for (int number = 0; number < 12; ++number) {
        table->record_death(death(number, "d0", {shared}), start + number * 70ms);
    }
    CHECK(table->review(start + 2s).empty());
    CHECK(verdict_of(*table, {shared}, start + 2s) == verdict::run);
}

TEST_CASE("racks that crash one after another do not get a rare part that ran there held back")
{
    auto table = make_table();
    core::instant now = start;
    for (int number = 0; number < 40; ++number) {
        const bool with_part = number % 8 == 0;
        table->record_death(death(number, "d" + std::to_string(number / 8),
                                  {with_part ? rare : part_digest(100 + std::uint64_t(number))}),
                            now);
        now += number % 8 == 7 ? 3s : 100ms;
    }
    CHECK(table->review(now).empty());
}

TEST_CASE("a cut from all failure domains at once does not get a part held back")
{
    auto table = make_table();
    for (int number = 0; number < 12; ++number) {
        table->record_death(death(number, "d" + std::to_string(number % 4), {shared}), start);
    }
    CHECK(table->review(start + 2s).empty());
}

TEST_CASE("deaths that a held part explains do not get its companions held back")
{
    auto table = make_table();
    auto now = crash(*table, 3, {deadly});
    REQUIRE(verdict_of(*table, {deadly}, now) == verdict::refuse);
    for (int number = 10; number < 20; ++number) {
        table->record_death(death(number, "d" + std::to_string(number % 3), {deadly, rare}), now);
        now += 2s;
        table->review(now);
    }
    CHECK(verdict_of(*table, {rare}, now) == verdict::run);
}

TEST_CASE("a part with earlier output is held back after more deaths")
{
    auto table = make_table();
    table->record_output(std::vector{shared}, start);
    auto now = crash(*table, 4, {shared}, start + 1s);
    CHECK(verdict_of(*table, {shared}, now) == verdict::run);
    table->record_death(death(9, "d0", {shared}), now);
    table->review(now + 1s);
    CHECK(verdict_of(*table, {shared}, now + 1s) == verdict::refuse);
}

TEST_CASE("a part that is held back by mistake is released by the output of a trial")
{
    auto table = make_table();
    const auto held_at = crash(*table, 3, {shared});
    CHECK(verdict_of(*table, {shared}, held_at + 9s, owns_all) == verdict::refuse);
    CHECK(verdict_of(*table, {shared}, held_at + 11s) == verdict::refuse);
    CHECK(verdict_of(*table, {shared}, held_at + 11s, owns_all) == verdict::isolate);
    CHECK(verdict_of(*table, {shared}, held_at + 11s, owns_all) == verdict::refuse);
    CHECK(table->record_output(std::vector{shared}, held_at + 12s) == std::vector{shared});
    CHECK(verdict_of(*table, {shared}, held_at + 12s) == verdict::run);
}

TEST_CASE("a sound part that was seen only beside a deadly one is tried first and released alone")
{
    auto table = make_table();
    const auto held_at = crash(*table, 3, {deadly, shared});
    CHECK(verdict_of(*table, {deadly, shared}, held_at + 1s, owns_all) == verdict::refuse);
    CHECK(verdict_of(*table, {shared, rare}, held_at + 1s, owns_all) == verdict::isolate);
    table->record_output(std::vector{shared, rare}, held_at + 4s);
    CHECK(verdict_of(*table, {deadly, shared}, held_at + 4s, owns_all) == verdict::refuse);
    CHECK(verdict_of(*table, {shared, rare}, held_at + 4s) == verdict::run);
}

TEST_CASE("a sound part that was seen only beside two deadly ones is tried first")
{
    auto table = make_table();
    constexpr part_digest second{9};
    table->record_death(death(20, "d2", {deadly, shared}), start);
    const auto held_at = crash(*table, 4, {second, shared}, start + 2s);
    CHECK(verdict_of(*table, {shared}, held_at, owns_all) == verdict::isolate);
}

TEST_CASE(
    "a request with a part without output is not sent again after two independent deaths with it")
{
    auto table = make_table();
    table->record_death(death(0, "d0", {deadly, shared}), start);
    table->record_death(death(1, "d0", {deadly, shared}), start);
    CHECK(table->allows_resend(std::vector{deadly, shared}));
    table->record_death(death(2, "d1", {deadly, shared}), start);
    CHECK_FALSE(table->allows_resend(std::vector{shared, deadly}));
    table->record_output(std::vector{shared}, start);
    CHECK(table->allows_resend(std::vector{shared, rare}));
    CHECK_FALSE(table->allows_resend(std::vector{shared, deadly}));
}

TEST_CASE("reports that arrive late do not postpone the trial of a held part")
{
    auto table = make_table();
    const auto held_at = crash(*table, 3, {shared});
    const auto told = table->held(held_at).front();
    for (auto now = held_at; now < held_at + 10s; now += 1s) {
        CHECK(table->apply_held(told, now));
    }
    CHECK(verdict_of(*table, {shared}, held_at + 11s, owns_all) == verdict::isolate);
}

TEST_CASE("a daemon tries a held part if those before it have not done so")
{
    auto table = make_table();
    const auto held_at = crash(*table, 3, {shared});
    const auto second = [](part_digest /*part*/) { return 2s; };
    CHECK(verdict_of(*table, {shared}, held_at + 11s, second) == verdict::refuse);
    CHECK(verdict_of(*table, {shared}, held_at + 13s, second) == verdict::isolate);
}

TEST_CASE("the trial of another daemon postpones one's own")
{
    auto table = make_table();
    auto peer = make_table();
    const auto held_at = crash(*table, 3, {shared});
    crash(*peer, 3, {shared});
    CHECK(try_part(*peer, {shared}, held_at + 10s) == verdict::isolate);
    CHECK(table->apply_held(peer->held(held_at + 10s).front(), held_at + 10s));
    CHECK(verdict_of(*table, {shared}, held_at + 100s, owns_all) == verdict::refuse);
}

TEST_CASE("a request with two held parts is no trial while one with a single one may come")
{
    auto table = make_table();
    const auto held_at = crash(*table, 3, {deadly, shared});
    CHECK(verdict_of(*table, {deadly, shared}, held_at + 9s, owns_all) == verdict::refuse);
    CHECK(try_part(*table, {shared, rare}, held_at + 9s) == verdict::isolate);
    table->record_death(death(9, "d0", {rare, shared}), held_at + 10s);
    CHECK(verdict_of(*table, {deadly, shared}, held_at + 28s, owns_all) == verdict::refuse);
    CHECK(try_part(*table, {shared, rare}, held_at + 28s) == verdict::isolate);
}

TEST_CASE("sound parts that always come together and are held back by mistake are released by an "
          "output of both")
{
    auto table = make_table();
    const auto held_at = crash(*table, 3, {shared, rare});
    CHECK(try_part(*table, {shared, rare}, held_at + 11s) == verdict::isolate);
    CHECK(verdict_of(*table, {shared, rare}, held_at + 11s, owns_all) == verdict::refuse);
    table->record_output(std::vector{shared, rare}, held_at + 12s);
    CHECK(verdict_of(*table, {shared, rare}, held_at + 12s) == verdict::run);
    CHECK(table->held(held_at + 12s).empty());
}

TEST_CASE("trials of two parts that come together leave the last one to a request with one of them")
{
    auto table = make_table();
    auto now = crash(*table, 3, {deadly, shared});
    int together = 0;
    for (const auto end = now + 90min; now < end; now += 1s) {
        together += try_part(*table, {deadly, shared}, now) == verdict::isolate ? 1 : 0;
    }
    CHECK(together == 2);
    CHECK(try_part(*table, {shared, rare}, now) == verdict::isolate);
    CHECK(try_part(*table, {deadly, rare}, now) == verdict::isolate);
    CHECK(try_part(*table, {deadly, rare}, now + 1h) == verdict::refuse);
}

TEST_CASE("the pause that refused callers are told grows with the hold and shrinks with a trial")
{
    auto table = make_table();
    const auto held_at = crash(*table, 3, {shared});
    const auto last_death = held_at - 2s;
    const auto pause_at = [&](core::instant now) {
        return table->evaluate(std::vector{shared}, owns_none, now).retry_after;
    };
    CHECK(pause_at(last_death + 50ms) == 200ms);
    CHECK(pause_at(last_death + 3s) == 3s);
    CHECK(pause_at(last_death + 1h) == 10s);
    CHECK(try_part(*table, {shared}, held_at + 1h) == verdict::isolate);
    CHECK(pause_at(held_at + 1h + 1s) == 1s);
    table->record_output(std::vector{shared}, held_at + 1h + 2s);
    CHECK(pause_at(held_at + 1h + 2s) == 0s);
}

TEST_CASE("at most three trials of a deadly part run in the first half hour")
{
    auto table = make_table();
    auto now = crash(*table, 3, {deadly});
    const auto end = now + 30min;
    int trials = 0;
    for (; now < end; now += 1s) {
        if (try_part(*table, {deadly}, now) == verdict::isolate) {
            ++trials;
            table->record_death(death(100 + trials, "d0", {deadly}), now);
        }
    }
    CHECK(trials == 3);
}

TEST_CASE("a deadly part takes at most three endpoints in a day that it is held back in a fleet")
{
    std::vector<std::unique_ptr<part_table>> tables;
    std::generate_n(std::back_inserter(tables), 3, make_table);
    core::instant now = start;
    for (const auto& table : tables) {
        now = crash(*table, 3, {deadly});
    }
    const auto end = now + 24h - 1min;
    int trials = 0;
    for (; now < end; now += 5s) {
        for (std::size_t daemon = 0; daemon < tables.size(); ++daemon) {
            const auto in_turn = [daemon](part_digest /*part*/) -> core::duration {
                return 2s * static_cast<int>(daemon);
            };
            if (try_part(*tables[daemon], {deadly}, now, in_turn) != verdict::refuse) {
                ++trials;
            }
            for (const auto& peer : tables) {
                for (const held_part& one : tables[daemon]->held(now)) {
                    peer->apply_held(one, now);
                }
            }
            tables[daemon]->expire(now);
        }
    }
    CHECK(trials == 3);
}

TEST_CASE("a hold whose trials all failed ends a day after the last one")
{
    auto table = make_table();
    auto now = crash(*table, 3, {deadly});
    for (const auto end = now + 1h; now < end; now += 10s) {
        try_part(*table, {deadly}, now);
    }
    table->expire(now + 22h);
    CHECK(table->held(now + 22h).size() == 1);
    table->expire(now + 24h);
    CHECK(table->held(now + 24h).empty());
}

TEST_CASE("a hold that no request has come to try ends after two hours")
{
    auto table = make_table();
    const auto now = crash(*table, 3, {deadly});
    table->expire(now + 119min);
    CHECK(table->held(now + 119min).size() == 1);
    table->expire(now + 2h);
    CHECK(table->held(now + 2h).empty());
}

namespace {

/// Admits a trial of `shared`, beside which no other is admitted, and takes it back. Returns when.
core::instant return_a_trial(part_table& table, core::instant now)
{
    const auto found = table.evaluate(std::vector{shared}, owns_all, now);
    CHECK(found.how == verdict::isolate);
    CHECK(verdict_of(table, {shared}, now + 1s, owns_all) == verdict::refuse);
    table.return_trial(found.held, now + 2s);
    return now + 2s;
}

} // namespace

TEST_CASE(
    "a trial whose request reaches no endpoint is not counted and the next one follows at once")
{
    auto table = make_table();
    auto now = crash(*table, 3, {shared}) + 11s;
    for (int number = 0; number < 10; ++number) {
        now = return_a_trial(*table, now);
    }
    CHECK(table->held(now).front().trials == 0);
    CHECK(try_part(*table, {shared}, now) == verdict::isolate);
    CHECK(table->held(now).front().trials == 1);
    CHECK(verdict_of(*table, {shared}, now + 99s, owns_all) == verdict::refuse);
}

TEST_CASE("a trial that is taken back does not hide one of another daemon")
{
    auto table = make_table();
    const auto now = crash(*table, 3, {shared}) + 11s;
    const auto found = table->evaluate(std::vector{shared}, owns_all, now);
    CHECK(found.how == verdict::isolate);
    CHECK(table->apply_held({shared, 1, 100s, 0s}, now + 1s));
    CHECK_FALSE(table->is_admitted(found.held));
    table->return_trial(found.held, now + 2s);
    CHECK(verdict_of(*table, {shared}, now + 2s, owns_all) == verdict::refuse);
    CHECK(table->held(now + 2s).front().trials == 1);
}

TEST_CASE("a restarted daemon holds back a part that a peer reports")
{
    auto table = make_table();
    const auto now = crash(*table, 3, {deadly});
    auto restarted = make_table();
    for (const held_part& one : table->held(now)) {
        CHECK(restarted->apply_held(one, now));
    }
    CHECK(verdict_of(*restarted, {deadly}, now) == verdict::refuse);
    CHECK(restarted->held(now) == table->held(now));
}

TEST_CASE("a report of a held part is rejected by a daemon that saw a later output")
{
    auto table = make_table();
    table->record_output(std::vector{shared}, start);
    CHECK_FALSE(table->apply_held({shared, 0, 2s, 500ms}, start + 100ms));
    CHECK(verdict_of(*table, {shared}, start + 100ms) == verdict::run);
    CHECK(table->apply_held({shared, 0, 2s, 50ms}, start + 100ms));
    CHECK(verdict_of(*table, {shared}, start + 100ms) == verdict::refuse);
}

TEST_CASE("reports that daemons repeat to each other do not keep a hold beyond its retention")
{
    auto table = make_table();
    auto peer = make_table();
    auto now = crash(*table, 3, {deadly});
    for (const auto end = now + 3h; now < end; now += 1min) {
        for (const held_part& one : table->held(now)) {
            peer->apply_held(one, now);
        }
        for (const held_part& one : peer->held(now)) {
            table->apply_held(one, now);
        }
        table->expire(now);
        peer->expire(now);
    }
    CHECK(table->held(now).empty());
    CHECK(peer->held(now).empty());
}

TEST_CASE("the number of remembered parts is bounded and a held part is kept")
{
    auto table = make_table();
    auto now = crash(*table, 3, {deadly});
    for (std::uint64_t number = 0; number < 3 * part_table::capacity; ++number) {
        now += 1ms;
        table->record_output(std::vector{part_digest(100 + number)}, now);
    }
    CHECK(table->size() <= part_table::capacity);
    CHECK(verdict_of(*table, {deadly}, now) == verdict::refuse);
}

TEST_CASE("a part with an output after its last death is never held back")
{
    rc::prop("any deaths in any order, then an output", [] {
        auto table = make_table();
        core::instant now = start;
        const auto deaths = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
        for (const int number : deaths) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 3'000));
            table->record_death(death(number, "d" + std::to_string(number % 4), {shared, rare}),
                                now);
            table->review(now);
        }
        table->record_output(std::vector{shared}, now);
        table->review(now + 1min);
        RC_ASSERT(verdict_of(*table, {shared}, now + 1min) == verdict::run);
    });
}

TEST_CASE("reports of deaths lead to the same holds in any order and with repeats")
{
    rc::prop("two daemons that get the same reports within one burst of each death", [] {
        std::vector<part_death> reports;
        const int count = *rc::gen::inRange(1, 12);
        for (int number = 0; number < count; ++number) {
            const auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(
                rc::gen::inRange<std::uint64_t>(1, 6));
            const std::set<std::uint64_t> drawn(numbers.begin(), numbers.end());
            std::vector<part_digest> parts(drawn.begin(), drawn.end());
            reports.push_back(
                death(number / 2, "d" + std::to_string(number / 2 % 3), std::move(parts)));
        }
        auto left = make_table();
        auto right = make_table();
        const auto deliver = [](part_table& table, const std::vector<part_death>& order) {
            for (const part_death& one : order) {
                table.record_death(one, start);
            }
        };
        deliver(*left, reports);
        std::ranges::reverse(reports);
        deliver(*right, reports);
        deliver(*right, reports);
        for (std::uint64_t part = 1; part < 6; ++part) {
            RC_ASSERT(left->evidence_of(part_digest(part), start + 1min) ==
                      right->evidence_of(part_digest(part), start + 1min));
        }
        RC_ASSERT(left->review(start + 1min) == right->review(start + 1min));
    });
}

TEST_CASE("policies differ in what counts as independent evidence")
{
    const part_evidence answered{9, 0, 0, 0, true};
    const part_evidence rack{9, 9, 1, 1, false};
    const part_evidence outage{9, 9, 4, 1, false};
    const part_evidence deadly_part{3, 3, 3, 2, false};
    CHECK(total_deaths_policy().holds(answered));
    CHECK_FALSE(unanswered_deaths_policy().holds(answered));
    CHECK(unanswered_deaths_policy().holds(rack));
    CHECK_FALSE(independent_deaths_policy().holds(rack));
    CHECK_FALSE(independent_deaths_policy().holds(outage));
    CHECK(independent_deaths_policy().holds(deadly_part));
    CHECK_FALSE(independent_bursts_policy().holds(deadly_part));
}

} // namespace ej::suspects
