#include <placement/controller.h>
#include <placement/read_back_orders.h>
#include <placement/send_once_orders.h>
#include <placement/steady_placement.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>

namespace ej::placement {

namespace {

constexpr std::size_t engine_count = 3;
constexpr std::uint64_t model_megabytes = 100;

/// An engine that applies orders. With `checks_fencing` it ignores those with an old fencing
/// number.
struct fake_engine {
    engine state;
    bool checks_fencing = false;
    core::fencing_number highest;

    void apply(const order& received)
    {
        if (checks_fencing && received.fencing < highest) {
            return;
        }
        highest = std::max(highest, received.fencing);
        state.loaded = received.models;
    }
};

/// Two daemons that each hold the lease at some time, the first one earlier, and their orders in
/// transit to the engines.
class simulation {
public:
    explicit simulation(order_strategy& first, order_strategy& second)
        : daemons{controller(planners_[0], first), controller(planners_[1], second)}
    {
        for (std::size_t n = 0; n < engine_count; ++n) {
            const core::endpoint_id name("e" + std::to_string(n));
            engines.push_back({{name, 2 * model_megabytes, {}}, n % 2 == 0, {}});
        }
    }

    void reconcile(std::size_t holder)
    {
        placement_inputs inputs;
        inputs.models = {{model_id("a"), model_megabytes}, {model_id("b"), model_megabytes}};
        inputs.demands = {{model_id("a"), holder == 0 ? 2.0 : 0.5},
                          {model_id("b"), holder == 0 ? 0.0 : 1.5}};
        for (const auto& one : engines) {
            inputs.engines.push_back(one.state);
        }
        const lease::held_lease held_lease{core::fencing_number(holder + 1), until[holder]};
        for (const auto& sent : daemons[holder].reconcile(inputs, held_lease, now)) {
            orders.push_back(sent);
        }
    }

    void deliver(std::size_t place)
    {
        const auto taken = orders.begin() + static_cast<std::ptrdiff_t>(place % orders.size());
        for (auto& one : engines) {
            if (one.state.name == taken->engine) {
                one.apply(*taken);
            }
        }
        orders.erase(taken);
    }

    void deliver_all()
    {
        while (!orders.empty()) {
            deliver(0);
        }
    }

    core::instant now{std::chrono::hours(1)};
    std::array<core::instant, 2> until{now + std::chrono::seconds(10), now + std::chrono::hours(9)};
    std::vector<fake_engine> engines;
    std::deque<order> orders;

private:
    std::array<steady_placement, 2> planners_;

public:
    std::array<controller, 2> daemons;
};

struct step {
    int kind;
    std::size_t place;

    friend std::ostream& operator<<(std::ostream& out, const step& one)
    {
        return out << '{' << one.kind << ", " << one.place << '}';
    }
};

void apply_step(simulation& all, const step& one)
{
    if (one.kind <= 1) {
        all.reconcile(static_cast<std::size_t>(one.kind));
    }
    else if (one.kind == 2) {
        all.now += std::chrono::seconds(one.place % 5);
    }
    else if (one.kind == 3) {
        all.engines[one.place % engine_count].state.loaded.clear(); // The engine restarted.
    }
    else if (!all.orders.empty()) {
        all.deliver(one.place);
    }
}

/// True if the engines are in the desired state two rounds after the last outdated order arrived.
bool converges(order_strategy& first, order_strategy& second, const std::vector<step>& steps)
{
    simulation all(first, second);
    for (const auto& one : steps) {
        apply_step(all, one);
    }
    all.reconcile(1);
    for (std::size_t place = steps.size(); !all.orders.empty(); ++place) {
        all.deliver(place);
    }
    constexpr int rounds = 2;
    for (int n = 0; n < rounds; ++n) {
        all.reconcile(1);
        all.deliver_all();
    }
    return std::ranges::all_of(all.engines, [&](const fake_engine& one) {
        return one.state.loaded == all.daemons[1].desired().models_of(one.state.name);
    });
}

} // namespace

TEST_CASE("engines reach the holder's plan two rounds after the last outdated order arrives")
{
    rc::prop("engines that check fencing numbers and engines that do not", [] {
        const auto steps = *rc::gen::container<std::vector<step>>(rc::gen::build<step>(
            rc::gen::set(&step::kind, rc::gen::inRange(0, 7)),
            rc::gen::set(&step::place, rc::gen::inRange<std::size_t>(0, 100))));
        read_back_orders first;
        read_back_orders second;
        RC_ASSERT(converges(first, second, steps));
    });
}

TEST_CASE("orders sent only once leave an engine in a previous holder's state")
{
    // The previous holder's order to the engine without fencing arrives after the new holder's.
    const std::vector<step> steps{{0, 0}, {1, 0}, {4, 3}, {4, 3}, {4, 3}, {4, 1}};
    send_once_orders first;
    send_once_orders second;
    CHECK_FALSE(converges(first, second, steps));
    read_back_orders third;
    read_back_orders fourth;
    CHECK(converges(third, fourth, steps));
}

TEST_CASE("a daemon whose lease has expired sends no orders")
{
    read_back_orders first;
    read_back_orders second;
    simulation all(first, second);
    all.now = all.until[0];
    all.reconcile(0);
    CHECK(all.orders.empty());
    all.reconcile(1);
    CHECK_FALSE(all.orders.empty());
}

} // namespace ej::placement
