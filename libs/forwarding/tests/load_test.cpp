#include <forwarding/backup_choice.h>
#include <forwarding/endpoint_choice.h>
#include <forwarding/endpoint_stats_table.h>
#include <forwarding/peer_loads.h>
#include <forwarding/retry_budget.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};

candidate candidate_of(const std::string& name, const std::string& domain, bool local,
                       endpoint_stats stats = {})
{
    core::endpoint what;
    what.name = core::endpoint_id(name);
    what.domain = core::failure_domain_id(domain);
    return {what, std::move(stats), local};
}

std::string chosen(const std::string& strategy, const std::vector<candidate>& from,
                   std::uint64_t turn = 0)
{
    const auto index = make_choice(strategy)->choose(from, {5'000, 700}, turn, start);
    return index ? from[*index].what.name.text() : "";
}

/// Daemons that share a retry budget and learn of each other's sends after `report_delay`, and once
/// a second in any case.
class budget_fleet {
public:
    static constexpr seconds window{10};

    budget_fleet(std::size_t count, milliseconds report_delay) : report_delay_(report_delay)
    {
        std::generate_n(std::back_inserter(daemons_), count, [] {
            return std::make_unique<retry_budget>(retry_budget_settings{ratio, allowance, window});
        });
    }

    /// A caller sends a request to the next daemon.
    void begin_request(core::instant at)
    {
        daemons_[firsts_.size() % daemons_.size()]->first(service_, at);
        firsts_.push_back(at);
    }

    /// Each daemon loses `count` streams, which it resumes as far as the budget allows.
    void lose_streams(int count, core::instant at)
    {
        for (std::size_t one = 0; one < daemons_.size(); ++one) {
            // No two daemons act in the same nanosecond.
            const auto now = at + std::chrono::nanoseconds(7'919 * one);
            for (int send = 0; send < count; ++send) {
                if (daemons_[one]->take(service_, daemons_.size(), now)) {
                    further_.push_back(at);
                    due_[at + report_delay_].insert(one);
                }
            }
        }
    }

    /// Delivers the reports that are due.
    void report(core::instant at)
    {
        for (std::size_t one = 0; one < daemons_.size(); ++one) {
            if ((at - start) % seconds(1) < milliseconds(10)) {
                send_report(one, at);
            }
        }
        while (!due_.empty() && due_.begin()->first <= at) {
            std::ranges::for_each(due_.begin()->second,
                                  [&](std::size_t one) { send_report(one, at); });
            due_.erase(due_.begin());
        }
    }

    [[nodiscard]] double further_within(core::instant since) const
    {
        return within(further_, since);
    }

    /// The platform counts the requests of the window, of the one before it or of the one half a
    /// window earlier, whichever has most.
    [[nodiscard]] double limit_within(core::instant since) const
    {
        return ratio * std::max({within(firsts_, since), within(firsts_, since - window),
                                 within(firsts_, since - window / 2)}) +
               allowance;
    }

private:
    static constexpr double ratio = 0.8;
    static constexpr double allowance = 150;

    static double within(const std::vector<core::instant>& times, core::instant since)
    {
        return double(std::ranges::upper_bound(times, since + window) -
                      std::ranges::upper_bound(times, since));
    }

    void send_report(std::size_t from, core::instant at)
    {
        const load_message told{core::vm_id(std::to_string(from)), 1, ++number_, false, {},
                                daemons_[from]->own_shares(at)};
        for (std::size_t to = 0; to < daemons_.size(); ++to) {
            if (to != from) {
                daemons_[to]->apply_peer_message(told, at);
            }
        }
    }

    core::service_id service_{"s"};
    milliseconds report_delay_;
    std::vector<std::unique_ptr<retry_budget>> daemons_;
    std::vector<core::instant> firsts_;
    std::vector<core::instant> further_;
    std::map<core::instant, std::set<std::size_t>> due_; // Daemons, by the time of their report.
    std::uint64_t number_ = 0;
};

} // namespace

TEST_CASE("the sum of the peers' loads equals the sum of their last messages")
{
    const bool holds = rc::check([] {
        peer_loads loads;
        std::map<std::string, std::map<std::string, std::uint32_t>> model;
        std::map<std::string, std::uint64_t> last;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            load_message message;
            const auto vm = *rc::gen::element<std::string>("a", "b", "c");
            message.from = core::vm_id(vm);
            message.start = 1;
            message.number = *rc::gen::inRange<std::uint64_t>(1, 60);
            message.whole = *rc::gen::arbitrary<bool>();
            const auto endpoint = *rc::gen::element<std::string>("x", "y");
            const auto count = *rc::gen::inRange<std::uint32_t>(0, 5);
            message.shares = {{core::endpoint_id(endpoint), count, count * 10ULL}};
            loads.apply(message, start);
            if (message.number > last[vm]) {
                last[vm] = message.number;
                if (message.whole) {
                    model[vm].clear();
                }
                model[vm][endpoint] = count;
            }
            for (const auto* const name : {"x", "y"}) {
                std::uint32_t sum = 0;
                for (const auto& [peer, shares] : model) {
                    const auto found = shares.find(name);
                    sum += found == shares.end() ? 0 : found->second;
                }
                const auto total = loads.at(core::endpoint_id(name));
                RC_ASSERT(total.in_flight == sum);
                RC_ASSERT(total.tokens_unread == sum * 10ULL);
            }
        }
    });
    CHECK(holds);
}

TEST_CASE("the load of a daemon is dropped when it restarts or sends nothing for three seconds")
{
    peer_loads loads;
    const core::endpoint_id x("x");
    loads.apply({core::vm_id("a"), 1, 7, false, {{x, 3, 30}}}, start);
    loads.apply({core::vm_id("a"), 2, 1, false, {}}, start);
    CHECK(loads.at(x).in_flight == 0);
    loads.apply({core::vm_id("a"), 2, 2, false, {{x, 2, 20}}}, start);
    loads.expire(start + milliseconds(2'900));
    CHECK(loads.at(x).in_flight == 2);
    loads.expire(start + milliseconds(3'100));
    CHECK(loads.at(x).in_flight == 0);
}

TEST_CASE("first_output chooses the engine with the earliest predicted output")
{
    endpoint_stats busy;
    busy.others_tokens_unread = 5'000;
    busy.others_in_flight = 1;
    endpoint_stats slow;
    slow.slowness = 1.6;
    CHECK(chosen("first_output", {candidate_of("busy", "z1", true, busy),
                                  candidate_of("free", "z2", false)}) == "free");
    CHECK(chosen("first_output", {candidate_of("slow", "z1", true, slow),
                                  candidate_of("usual", "z2", false)}) == "usual");
    CHECK(chosen("first_output",
                 {candidate_of("far", "z2", false), candidate_of("near", "z1", true)}) == "near");
    CHECK(chosen("fewest_requests", {candidate_of("busy", "z1", true, busy),
                                     candidate_of("free", "z2", false)}) == "free");
}

TEST_CASE("an ejected endpoint is chosen only if there is no other")
{
    const auto* const strategy = GENERATE("first_output", "fewest_requests", "round_robin");
    endpoint_stats failed;
    failed.avoid_until = start + seconds(1);
    const std::vector<candidate> two{candidate_of("bad", "z1", true, failed),
                                     candidate_of("good", "z2", false)};
    CHECK(chosen(strategy, two, 0) == "good");
    CHECK(chosen(strategy, two, 1) == "good");
    CHECK(chosen(strategy, {two.front()}) == "bad");
    CHECK(chosen(strategy, {}).empty());
}

TEST_CASE("equally good endpoints are chosen in rotation")
{
    const auto* const strategy = GENERATE("first_output", "fewest_requests", "round_robin");
    const std::vector<candidate> equal{candidate_of("a", "z1", true),
                                       candidate_of("b", "z1", true)};
    CHECK(chosen(strategy, equal, 0) != chosen(strategy, equal, 1));
    CHECK(make_choice("unheard_of") == nullptr);
}

TEST_CASE("the backup is in another failure domain if there is one")
{
    const auto runner = candidate_of("run", "z1", true);
    const std::vector<candidate> all{runner, candidate_of("near", "z1", true),
                                     candidate_of("far", "z2", false)};
    CHECK(choose_backup(all, runner.what, 0, start) == 2);
    CHECK(choose_backup(std::span(all).first(2), runner.what, 0, start) == 1);
    CHECK_FALSE(choose_backup(std::span(all).first(1), runner.what, 0, start));
}

TEST_CASE("repeated failures lengthen the ejection and a success ends it")
{
    endpoint_stats_table known;
    core::endpoint endpoint;
    endpoint.name = core::endpoint_id("x");
    known.failed(endpoint.name, attempt_end::silent, start);
    const auto first = known.of(endpoint).avoid_until;
    CHECK(first > start);
    known.failed(endpoint.name, attempt_end::silent, start);
    CHECK(known.of(endpoint).avoid_until > first);
    known.succeeded(endpoint.name);
    CHECK(known.of(endpoint).avoid_until <= start);
    known.failed(endpoint.name, attempt_end::failed, start);
    CHECK(known.of(endpoint).avoid_until <= start); // A single error response says little.
}

TEST_CASE("requests that begin, produce output and end leave no load behind")
{
    endpoint_stats_table known;
    core::endpoint endpoint;
    endpoint.name = core::endpoint_id("x");
    known.begin(endpoint.name, 100);
    known.begin(endpoint.name, 50);
    known.first_output(endpoint.name, 100);
    CHECK(known.of(endpoint).tokens_unread == 50);
    known.end(endpoint.name, 0);
    known.end(endpoint.name, 50);
    CHECK(known.of(endpoint).in_flight == 0);
    CHECK(known.of(endpoint).tokens_unread == 0);
    CHECK(known.own_shares().empty());
}

TEST_CASE("further sends stay within the ratio plus this daemon's share of the allowance")
{
    const core::service_id service("s");
    const auto daemons = GENERATE(1, 4, 9);
    retry_budget budget({0.5, 18, seconds(10)});
    for (int number = 0; number < 20; ++number) {
        budget.first(service, start);
    }
    int taken = 0;
    while (budget.take(service, static_cast<std::size_t>(daemons), start)) {
        ++taken;
    }
    CHECK(taken == 10 + 18 / daemons);
    CHECK_FALSE(budget.take(service, static_cast<std::size_t>(daemons), start + seconds(9)));
    // All sends have left the window, so the allowance is available again, but no ratio.
    CHECK(budget.take(service, static_cast<std::size_t>(daemons), start + seconds(11)));
}

TEST_CASE("a daemon uses budget that its peers report as unused")
{
    const core::service_id service("s");
    retry_budget budget({0.8, 150, seconds(10)});
    budget.first(service, start);
    load_message peer_message{core::vm_id("other"), 1, 1, false, {}, {{service, 500, 10}}};
    budget.apply_peer_message(peer_message, start);
    constexpr std::size_t daemons = 90;
    int taken = 0;
    // What others may take at the same time is left to them, so that it is used within two seconds.
    for (core::instant at = start; at < start + seconds(2); at += milliseconds(10)) {
        while (budget.take(service, daemons, at)) {
            ++taken;
        }
    }
    // The daemon's own share allows only two: 0.8 of its one request plus a 90th of the allowance.
    CHECK(taken > 200);
    peer_message.number = 2;
    peer_message.services.front().further_sends = 400;
    budget.apply_peer_message(peer_message, start);
    CHECK_FALSE(budget.take(service, daemons, start));
    // The unused budget of a peer whose last message has expired is not available.
    retry_budget alone({0.8, 150, seconds(10)});
    alone.first(service, start);
    alone.apply_peer_message(peer_message, start);
    taken = 0;
    while (alone.take(service, daemons, start + seconds(4))) {
        ++taken;
    }
    CHECK(taken == 2);
}

TEST_CASE("all daemons together stay within the budget while they receive each other's messages")
{
    const bool holds = rc::check([] {
        const core::service_id service("s");
        constexpr double ratio = 0.5;
        constexpr double allowance = 20;
        const auto count = *rc::gen::inRange<std::size_t>(1, 8);
        std::vector<std::unique_ptr<retry_budget>> daemons;
        daemons.reserve(count);
        for (std::size_t one = 0; one < count; ++one) {
            daemons.push_back(std::make_unique<retry_budget>(
                retry_budget_settings{ratio, allowance, seconds(10)}));
        }
        double first_sends = 0;
        double further_sends = 0;
        const auto steps = *rc::gen::inRange(1, 300);
        for (int step = 0; step < steps; ++step) {
            const auto at = *rc::gen::inRange<std::size_t>(0, count);
            if (*rc::gen::weightedElement<bool>({{1, true}, {3, false}})) {
                daemons[at]->first(service, start);
                ++first_sends;
            }
            else if (daemons[at]->take(service, count, start)) {
                ++further_sends;
            }
            const load_message peer_message{
                core::vm_id(std::to_string(at)), 1, static_cast<std::uint64_t>(step + 1), false, {},
                daemons[at]->own_shares(start)};
            for (std::size_t other = 0; other < count; ++other) {
                if (other != at) {
                    daemons[other]->apply_peer_message(peer_message, start);
                }
            }
            RC_ASSERT(further_sends <= ratio * first_sends + allowance);
        }
    });
    CHECK(holds);
}

TEST_CASE("all daemons together stay within the budget when many of them lose streams at once")
{
    const bool holds = rc::check([] {
        constexpr milliseconds step(10);
        constexpr milliseconds end(30'000);
        const auto count = *rc::gen::element<std::size_t>(9, 30, 62);
        const auto gap = milliseconds(*rc::gen::element(50, 20)); // Between two requests.
        const auto wave_interval = milliseconds(*rc::gen::element(700, 2'000, 5'000));
        const auto sends_in_wave = *rc::gen::inRange(1, 6);
        budget_fleet fleet(count, milliseconds(*rc::gen::inRange(10, 50)));
        for (core::instant at = start; at < start + end; at += step) {
            // The traffic falls to a fifth after a third of the time.
            const auto gap_now = at < start + end / 3 ? gap : 5 * gap;
            if ((at - start) % gap_now < step) {
                fleet.begin_request(at);
            }
            if ((at - start) % wave_interval < step) {
                fleet.lose_streams(sends_in_wave, at);
            }
            fleet.report(at);
        }
        for (core::instant since = start - budget_fleet::window; since < start + end;
             since += milliseconds(100)) {
            RC_ASSERT(fleet.further_within(since) <= fleet.limit_within(since));
        }
    });
    CHECK(holds);
}

} // namespace ej::forwarding
