#include "naive_relay.h"
#include "simulated_generation.h"

#include <generation/policies.h>
#include <generation/rules.h>
#include <generation/token_digest.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

namespace ej::generation {

namespace {

constexpr std::uint32_t low_extra_work_percent = 2;
constexpr std::uint32_t high_extra_work_percent = 50;

rules rules_for(std::uint32_t extra_work_percent, limits bounds = {})
{
    core::work_target target;
    target.extra_work_percent = extra_work_percent;
    return {policy_for(target), bounds};
}

std::vector<std::string> text_of(int tokens)
{
    std::vector<std::string> text;
    text.reserve(static_cast<std::size_t>(tokens));
    for (int i = 0; i < tokens; ++i) {
        text.push_back("t" + std::to_string(i) + " ");
    }
    return text;
}

rc::Gen<simulation_step> any_step(int last)
{
    const auto any = rc::gen::map(rc::gen::inRange(0, last + 1),
                                  [](int number) { return static_cast<simulation_step>(number); });
    return rc::gen::weightedOneOf<simulation_step>(
        {{2, rc::gen::just(simulation_step::next_line)}, {3, any}});
}

constexpr int any_fault = simulation_step_count - 1;
constexpr int any_fault_of_engines = static_cast<int>(simulation_step::rejected);

} // namespace

TEST_CASE(
    "for any sequence of events, the answer is a prefix of one text, and complete if it finishes")
{
    const auto* const name = "answer";
    for (const auto extra_work : {low_extra_work_percent, high_extra_work_percent}) {
        const auto decide = rules_for(extra_work);
        rc::prop(name, [&] {
            const auto full_text = text_of(*rc::gen::inRange(1, 30));
            simulated_generation simulated(decide, full_text);
            for (const auto step :
                 *rc::gen::container<std::vector<simulation_step>>(any_step(any_fault))) {
                simulated.play(step);
                RC_ASSERT(simulated.in_order());
                RC_ASSERT(simulated.answer().size() <= full_text.size());
                RC_ASSERT(std::equal(simulated.answer().begin(), simulated.answer().end(),
                                     full_text.begin()));
                RC_ASSERT(!simulated.finished() || simulated.answer() == full_text);
                RC_ASSERT(!(simulated.finished() && simulated.failed()));
            }
        });
    }
}

TEST_CASE("once the faults stop, the generation ends: finished with the full text, or failed at a "
          "loss limit")
{
    const auto decide = rules_for(low_extra_work_percent);
    rc::prop("ends", [&] {
        const auto full_text = text_of(*rc::gen::inRange(1, 30));
        simulated_generation simulated(decide, full_text);
        for (const auto step :
             *rc::gen::container<std::vector<simulation_step>>(any_step(any_fault_of_engines))) {
            simulated.play(step);
        }
        simulated.run_without_faults();
        RC_ASSERT(simulated.finished() != simulated.failed());
        RC_ASSERT(!simulated.finished() || simulated.answer() == full_text);
    });
}

TEST_CASE("each superseded attempt is cancelled exactly once on its engine")
{
    const auto decide = rules_for(low_extra_work_percent);
    rc::prop("cancelled", [&] {
        simulated_generation simulated(decide, text_of(20));
        for (const auto step :
             *rc::gen::container<std::vector<simulation_step>>(any_step(any_fault_of_engines))) {
            simulated.play(step);
        }
        RC_ASSERT(simulated.all_superseded_cancelled());
    });
}

TEST_CASE("a relay that ignores attempts and offsets repeats a line that arrives twice")
{
    event line;
    line.kind = event_kind::tokens;
    line.tokens = {"a ", "b "};
    naive_relay relay;
    relay.next(line);
    relay.next(line);
    CHECK(relay.answer() != line.tokens);
}

TEST_CASE("when a connection to a live engine closes, the attempt is reattached without a restart")
{
    const auto decide = rules_for(low_extra_work_percent);
    simulated_generation simulated(decide, text_of(9));
    for (const auto step :
         {simulation_step::next_line, simulation_step::next_line, simulation_step::next_line,
          simulation_step::closed, simulation_step::next_line}) {
        simulated.play(step);
    }
    CHECK(simulated.state().attempt == core::attempt_number(1));
    CHECK(simulated.state().phase == phase::opening);
    simulated.run_without_faults();
    CHECK(simulated.finished());
    CHECK(simulated.state().restarts == 0);
}

TEST_CASE("an engine that reopens with a different text on the same connection is superseded")
{
    simulated_generation simulated(rules_for(low_extra_work_percent), text_of(4));
    for (const auto step :
         {simulation_step::next_line, simulation_step::next_line, simulation_step::next_line,
          simulation_step::open_with_other_text, simulation_step::next_line}) {
        simulated.play(step);
    }
    CHECK(simulated.state().attempt == core::attempt_number(2));
    simulated.run_without_faults();
    CHECK(simulated.answer() == text_of(4));
}

TEST_CASE("a slow live engine keeps its connection until the silence limit, then is superseded")
{
    limits bounds;
    bounds.max_silences = 2;
    simulated_generation simulated(rules_for(low_extra_work_percent, bounds), text_of(9));
    simulated.play(simulation_step::next_line);
    simulated.play(simulation_step::next_line);
    for (std::uint32_t wait = 0; wait < bounds.max_silences; ++wait) {
        simulated.play(simulation_step::silent);
        simulated.play(simulation_step::repeated_line); // Check: alive, no new tokens.
        CHECK(simulated.state().phase == phase::streaming);
        CHECK(simulated.state().reattachments == 0);
    }
    simulated.play(simulation_step::silent);
    simulated.play(simulation_step::repeated_line);
    CHECK(simulated.state().attempt == core::attempt_number(2));
}

TEST_CASE("a class that allows much extra work restarts on silence without a check")
{
    simulated_generation simulated(rules_for(high_extra_work_percent), text_of(9));
    for (const auto step :
         {simulation_step::next_line, simulation_step::next_line, simulation_step::silent}) {
        simulated.play(step);
    }
    CHECK(simulated.state().attempt == core::attempt_number(2));
    CHECK(simulated.state().phase == phase::placing);
}

TEST_CASE("a generation fails when the limit of lost engines is reached")
{
    limits bounds;
    bounds.max_losses = 3;
    const auto decide = rules_for(low_extra_work_percent, bounds);
    simulated_generation simulated(decide, text_of(9));
    for (int loss = 0; loss < 3; ++loss) {
        simulated.play(simulation_step::next_line);
        simulated.play(simulation_step::next_line);
        simulated.play(simulation_step::closed);
        simulated.play(simulation_step::unreachable);
    }
    CHECK(simulated.failed());
    CHECK(!simulated.finished());
}

TEST_CASE("the digest of a text is the same however it is split into lines")
{
    const auto text = text_of(5);
    auto by_token = core::digest();
    for (const auto& token : text) {
        by_token = extend(by_token, std::vector<std::string>{token});
    }
    CHECK(by_token == extend(core::digest(), text));
    CHECK(extend(core::digest(), std::vector<std::string>{}) == core::digest());
}

} // namespace ej::generation
