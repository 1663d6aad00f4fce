#include "fleet_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>

namespace ej::config {

namespace {

using move = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
using rule = void (*)(fleet_model&, std::size_t, std::size_t);

constexpr std::size_t daemons = 6;
constexpr std::size_t histories_per_case = 20;
// A silent watch, the wait after a failed one, and digests over the tree.
constexpr auto settle_bound = std::chrono::seconds(8);
// Until a watcher reads plainly.
constexpr auto verify_bound = std::chrono::seconds(15);
// Operators' target for a change to be in force everywhere while nothing fails.
constexpr auto change_bound = std::chrono::seconds(4);

void submit(fleet_model& fleet, std::size_t a, std::size_t b)
{
    fleet.submit(a, b);
}
void step(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.step_submission(a, fleet_model::answer::given);
}
void lose_answer(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.step_submission(a, fleet_model::answer::lost);
}
void delay_write(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.step_submission(a, fleet_model::answer::late);
}
void apply_late(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.apply_late_write(a);
}
void deliver(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.deliver(a);
}
void drop(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.drop(a);
}
void pass_time(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.advance(std::chrono::milliseconds(20 * a));
}
void run_briefly(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.run(std::chrono::milliseconds(20 * a));
}
void outage(fleet_model& fleet, std::size_t /*a*/, std::size_t /*b*/)
{
    fleet.toggle_outage();
}
void toggle_connection(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.toggle_disconnected(a);
}
void lose_watches(fleet_model& fleet, std::size_t /*a*/, std::size_t /*b*/)
{
    fleet.drop_watches();
}
void lose_messages(fleet_model& fleet, std::size_t /*a*/, std::size_t /*b*/)
{
    fleet.drop_all_messages();
}
void restart(fleet_model& fleet, std::size_t a, std::size_t /*b*/)
{
    fleet.restart(a);
}

// Rules that stand several times are played more often.
constexpr std::array<rule, 24> faulty{
    submit,    submit,      submit,      submit,       step,          step,
    step,      step,        step,        step,         deliver,       deliver,
    deliver,   deliver,     drop,        apply_late,   lose_answer,   toggle_connection,
    pass_time, run_briefly, run_briefly, lose_watches, lose_messages, delay_write};
constexpr std::array<rule, 10> connected{submit,  submit,    step,        step,    step,
                                         deliver, pass_time, run_briefly, restart, lose_watches};

template <std::size_t Count>
void play(fleet_model& fleet, const std::array<rule, Count>& rules, const std::vector<move>& moves)
{
    for (const auto& [kind, a, b] : moves) {
        rules.at(kind % Count)(fleet, a, b);
    }
}

rc::Gen<std::vector<move>> histories()
{
    return rc::gen::resize(200, rc::gen::arbitrary<std::vector<move>>());
}

void start(fleet_model& fleet)
{
    fleet.run(change_bound);
}

} // namespace

TEST_CASE("an accepted change is in force everywhere and never reverts, whatever is lost or cut")
{
    std::size_t accepted = 0;
    std::size_t lost_answers = 0;
    rc::prop("outage, lost and late writes, cuts, silent watches, restarts, racing operators", [&] {
        const auto batch =
            *rc::gen::container<std::vector<std::vector<move>>>(histories_per_case, histories());
        for (const auto& moves : batch) {
            fleet_model fleet(daemons);
            start(fleet);
            play(fleet, faulty, moves);
            outage(fleet, 0, 0);
            play(fleet, faulty, moves);
            restart(fleet, moves.size(), 0);
            play(fleet, connected, moves);
            fleet.heal();
            fleet.settle(settle_bound);
            RC_ASSERT(fleet.agrees());
            fleet.check_answers();
            accepted += fleet.accepted();
            lost_answers += fleet.lost_answers();
        }
    });
    // The histories must reach the cases that they are meant for.
    CHECK(accepted > 10'000);
    CHECK(lost_answers > 1'000);
}

TEST_CASE("a change is in force everywhere within four seconds while nothing fails")
{
    rc::prop("any daemon takes it", [](std::uint8_t daemon, std::uint8_t object) {
        fleet_model fleet(daemons);
        start(fleet);
        fleet.submit(daemon, object % 6U);
        fleet.heal();
        RC_ASSERT(fleet.accepted() == 1U);
        RC_ASSERT(fleet.settle(change_bound) < core::duration(change_bound));
        RC_ASSERT(fleet.agrees());
    });
}

TEST_CASE("a platform that comes back with older data reverts no daemon and takes no change")
{
    rc::prop("until an operator has the newer state written back", [] {
        const auto before = *histories();
        const auto after = *histories();
        const auto lost = *rc::gen::inRange<std::size_t>(1, 20);
        const auto by = *rc::gen::inRange<std::size_t>(0, daemons);
        fleet_model fleet(daemons);
        start(fleet);
        fleet.submit(0, 0);
        play(fleet, connected, before);
        fleet.heal();
        fleet.settle(settle_bound);
        const std::size_t accepted = fleet.accepted();
        fleet.rewind(lost);
        // One daemon at a time is away, so that the others still hold what the platform lost.
        std::array<rule, 5> present{submit, step, pass_time, run_briefly, lose_watches};
        play(fleet, present, after);
        fleet.restart(by);
        fleet.run(verify_bound);
        play(fleet, present, after);
        fleet.heal();
        RC_ASSERT(fleet.agrees());
        RC_ASSERT(fleet.reports_platform_behind());
        RC_ASSERT(fleet.restore(by + 1));
        fleet.settle(settle_bound);
        fleet.submit(by, 0);
        fleet.heal();
        RC_ASSERT(fleet.settle(change_bound) < core::duration(change_bound));
        RC_ASSERT(fleet.accepted() > accepted);
        fleet.check_answers();
    });
}

TEST_CASE("a daemon that heard of a newer revision takes no change on the platform's older data")
{
    const action what = put_workspace{{core::workspace_id("a"), 1}};
    change_submission decision({change_id("c"), {}, what}, {}, core::revision(3), {}, 1);
    CHECK(std::holds_alternative<read_tail>(decision.start()));
    const auto last = decision.handle(stored_tail{});
    CHECK(std::get<finish_submission>(last.value()).result.outcome ==
          submission_outcome::platform_behind);
}

} // namespace ej::config
