#include "platform.h"

#include <lease/candidate.h>
#include <lease/deadline_from_answer.h>
#include <lease/deadline_from_send.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace ej::lease {

namespace {

/// Candidates, the platform, and the calls and answers in transit between them.
class simulation {
public:
    simulation(std::size_t count, const deadline_strategy& strategy)
    {
        for (std::size_t n = 0; n < count; ++n) {
            daemons.emplace_back(lease_settings{}, strategy);
        }
        calls.resize(count);
        answers.resize(count);
    }

    void tick(std::size_t n) { queue(n, daemons[n].tick(now)); }

    /// Delivers a daemon's oldest call to the platform; `lose_answer` discards the answer.
    void deliver_call(std::size_t n, bool lose_answer)
    {
        if (calls[n].empty()) {
            return;
        }
        const auto answer = service.handle(calls[n].front(), now, lease_settings{}.ttl);
        calls[n].pop_front();
        if (!lose_answer) {
            answers[n].push_back(answer);
        }
    }

    void deliver_answer(std::size_t n)
    {
        if (!answers[n].empty()) {
            const auto got = answers[n].front();
            answers[n].pop_front();
            queue(n, daemons[n].answer(got, now));
        }
    }

    [[nodiscard]] std::size_t holders() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            daemons, [&](const auto& one) { return one.held() && one.held()->valid_at(now); }));
    }

    core::instant now{std::chrono::hours(1)};
    std::vector<candidate> daemons;
    platform service;
    std::vector<std::deque<platform_call>> calls;
    std::vector<std::deque<platform_answer>> answers;

private:
    void queue(std::size_t n, const std::optional<platform_call>& call)
    {
        if (call) {
            calls[n].push_back(*call);
        }
    }
};

struct step {
    int kind;
    std::size_t daemon;
    int milliseconds;

    friend std::ostream& operator<<(std::ostream& out, const step& one)
    {
        return out << '{' << one.kind << ", " << one.daemon << ", " << one.milliseconds << '}';
    }
};

constexpr std::size_t daemon_count = 3;

std::vector<step> draw_steps()
{
    return *rc::gen::container<std::vector<step>>(
        400, rc::gen::build<step>(
                 rc::gen::set(&step::kind, rc::gen::weightedElement<int>(
                                               {{5, 0}, {6, 1}, {1, 2}, {6, 3}, {4, 4}})),
                 rc::gen::set(&step::daemon, rc::gen::inRange<std::size_t>(0, daemon_count)),
                 rc::gen::set(&step::milliseconds, rc::gen::inRange(0, 1'500))));
}

// A daemon without steps for a while behaves like a paused process: its ticks and answers wait.
void apply_step(simulation& all, const step& one)
{
    if (one.kind == 0) {
        all.tick(one.daemon);
    }
    else if (one.kind == 1) {
        all.deliver_call(one.daemon, false);
    }
    else if (one.kind == 2) {
        all.deliver_call(one.daemon, true);
    }
    else if (one.kind == 3) {
        all.deliver_answer(one.daemon);
    }
    else {
        all.now += std::chrono::milliseconds(one.milliseconds);
    }
}

/// True if two daemons hold the lease at once after any step.
bool ever_has_two_holders(const deadline_strategy& strategy, const std::vector<step>& steps)
{
    simulation all(daemon_count, strategy);
    return std::ranges::any_of(steps, [&](const step& one) {
        apply_step(all, one);
        return all.holders() > 1;
    });
}

} // namespace

TEST_CASE("pauses, lease expiry and lost answers never lead to two holders at once")
{
    const deadline_from_send sound;
    rc::prop("deadline counted from before the call was sent",
             [&] { RC_ASSERT(!ever_has_two_holders(sound, draw_steps())); });
}

TEST_CASE("a deadline counted from the answer allows two holders at once")
{
    // A single late answer to the creation of a lease causes it.
    const deadline_from_answer naive;
    const std::vector<step> steps{
        {0, 0, 0},     {1, 0, 0},     {3, 0, 0},     // finds the key absent
        {1, 0, 0},     {4, 0, 1'500}, {3, 0, 0},     // creates a lease; the answer is late
        {1, 0, 0},     {3, 0, 0},                    // claims and holds
        {4, 0, 1'500}, {4, 0, 1'500}, {4, 0, 1'500}, // the lease expires at the platform
        {0, 1, 0},     {1, 1, 0},     {3, 1, 0},     {1, 1, 0}, {3, 1, 0}, {1, 1, 0}, {3, 1, 0}};
    CHECK(ever_has_two_holders(naive, steps));
    CHECK_FALSE(ever_has_two_holders(deadline_from_send(), steps));
}

TEST_CASE("after pauses and lost answers end there is one holder within ten seconds")
{
    const deadline_from_send sound;
    rc::prop("one holder, with the latest fencing number", [&] {
        simulation all(daemon_count, sound);
        for (const auto& one : draw_steps()) {
            apply_step(all, one);
        }
        const auto end = all.now + std::chrono::seconds(10);
        for (; all.now < end; all.now += std::chrono::milliseconds(100)) {
            for (std::size_t n = 0; n < daemon_count; ++n) {
                all.tick(n);
                for (int calls = 0; calls < 6; ++calls) {
                    all.deliver_call(n, false);
                    all.deliver_answer(n);
                }
            }
        }
        RC_ASSERT(all.holders() == 1);
        for (const auto& one : all.daemons) {
            RC_ASSERT(!one.held() || one.held()->fencing == all.service.fencing());
        }
    });
}

} // namespace ej::lease
