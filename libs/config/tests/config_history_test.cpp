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
// Covers the timeout of a watch, the delay after a failed watch, and digests down the tree.
constexpr auto settle_bound = std::chrono::seconds(8);
// Covers the interval between unconditional reads of a watcher.
constexpr auto verify_bound = std::chrono::seconds(15);
// Required time for a change to be in force at all daemons when nothing fails.
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

// Rules listed several times are chosen more often.
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

TEST_CASE(
    "an accepted change takes effect at every daemon and never reverts despite message loss and "
    "disconnects")
{
    std::size_t accepted = 0;
    std::size_t lost_answers = 0;
    rc::prop("outage, lost or late writes, disconnects, lost watches, restarts, contention", [&] {
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
    // Checks that the generated histories reach these cases often enough.
    CHECK(accepted > 10'000);
    CHECK(lost_answers > 1'000);
}

TEST_CASE("a change takes effect at every daemon within four seconds when nothing fails")
{
    rc::prop("submitted at any daemon", [](std::uint8_t daemon, std::uint8_t object) {
        fleet_model fleet(daemons);
        start(fleet);
        fleet.submit(daemon, object % 6U);
        fleet.heal();
        RC_ASSERT(fleet.accepted() == 1U);
        RC_ASSERT(fleet.settle(change_bound) < core::duration(change_bound));
        RC_ASSERT(fleet.agrees());
    });
}

TEST_CASE("after the platform loses changes, no daemon reverts and no change is accepted")
{
    rc::prop("until an operator restores the newer state", [] {
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
        // Only one daemon restarts, so that the others still have the changes that the platform
        // lost.
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

TEST_CASE("a submission fails with platform_behind when the stored log ends before the newest "
          "known revision")
{
    const action what = put_workspace{{core::workspace_id("a"), 1}};
    change_submission decision({change_id("c"), {}, what}, {}, core::revision(3), {}, 1);
    CHECK(std::holds_alternative<read_change_log>(decision.start()));
    const auto last = decision.handle(stored_change_log{});
    CHECK(std::get<finish_submission>(last.value()).result.outcome ==
          submission_outcome::platform_behind);
}

} // namespace ej::config
