#include <overload/engine_forecast.h>
#include <overload/memory_need.h>
#include <overload/placement_policy.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace ej::overload {

namespace {

// A late generation is sent only if its first output is this part of the target away, so that it
// does not delay generations that are on time.
constexpr int late_divisor = 2;
// Callers wait for Retry-After, but for at most this part of the time that they have left, and a
// request is held here for no longer: by then another daemon may serve it earlier.
constexpr int shares_of_time = 3;
// A target that an idle engine misses says nothing about load. Instead, the first output may take
// this multiple of the time that an idle engine needs.
constexpr int idle_multiple = 3;

/// The index of the engine that `view.choice` selects among those with the given indices.
std::optional<std::size_t> choose_among(const std::vector<std::size_t>& indices,
                                        const generation_demand& demand, const placement_view& view)
{
    std::vector<forwarding::candidate> engines;
    engines.reserve(indices.size());
    std::ranges::transform(indices, std::back_inserter(engines),
                           [&](std::size_t index) { return view.engines[index]; });
    const auto chosen = view.choice.choose(engines, demand.size, view.turn, view.now);
    return chosen ? std::optional(indices[*chosen]) : std::nullopt;
}

placement_step send_to(std::size_t engine, const generation_demand& demand,
                       const placement_view& view)
{
    const auto memory = memory_need(demand.size, view.usage, view.profile);
    const auto expected =
        forecast(view.engines[engine], demand, memory, view.profile, view.usage, view.now);
    return {placement_kind::send, engine, expected.first_output, {}};
}

/// `asked` with a time for its first output that an engine can meet.
generation_demand with_feasible_target(generation_demand asked, const placement_view& view)
{
    const auto idle = forecast({}, asked, 0, view.profile, view.usage, view.now).first_output;
    if (asked.first_output_by != core::instant::max() &&
        idle > asked.first_output_by - asked.arrived) {
        asked.first_output_by = asked.arrived + idle_multiple * idle;
    }
    return asked;
}

/// Sends each generation to the engine that `choice` selects, whatever its load.
class at_once final : public placement_policy {
public:
    [[nodiscard]] std::optional<placement_step> place(const generation_demand& demand,
                                                      const placement_view& view) const override
    {
        const auto chosen = view.choice.choose(view.engines, demand.size, view.turn, view.now);
        return chosen ? std::optional(send_to(*chosen, demand, view)) : std::nullopt;
    }
};

/// Sends a generation only to an engine that has the memory for it to its end. One that would miss
/// its target is refused at once; one that is late already waits behind the others.
class by_memory final : public placement_policy {
public:
    [[nodiscard]] std::optional<placement_step> place(const generation_demand& asked,
                                                      const placement_view& view) const override
    {
        const auto demand = with_feasible_target(asked, view);
        const auto any = view.choice.choose(view.engines, demand.size, view.turn, view.now);
        if (!any) {
            return std::nullopt;
        }
        const auto memory = memory_need(demand.size, view.usage, view.profile);
        std::optional<std::size_t> chosen;
        engine_forecast expected;
        if (!view.queue.others_first || demand.resumed) {
            chosen = choose_among(with_room(demand, memory, view), demand, view);
        }
        if (chosen) {
            expected =
                forecast(view.engines[*chosen], demand, memory, view.profile, view.usage, view.now);
        }
        // A caller that has part of the answer waits for the rest: it goes before other work.
        if (demand.resumed) {
            return send_to(chosen.value_or(*any), demand, view);
        }
        if (chosen && (expected.idle || expected.first_output <= patience(demand, view.now))) {
            return placement_step{placement_kind::send, *chosen, expected.first_output, {}};
        }
        return wait_or_refuse(demand, view, chosen ? expected.first_output : core::duration());
    }

private:
    static std::vector<std::size_t> with_room(const generation_demand& demand, std::uint64_t memory,
                                              const placement_view& view)
    {
        // Ejected engines are the last resort, also for a generation that finds the others full.
        const auto ejected = [&](const forwarding::candidate& one) {
            return one.stats.avoid_until > view.now;
        };
        const bool all_ejected = std::ranges::all_of(view.engines, ejected);
        std::vector<std::size_t> found;
        for (std::size_t index = 0; index < view.engines.size(); ++index) {
            const auto& one = view.engines[index];
            if ((all_ejected || !ejected(one)) &&
                forecast(one, demand, memory, view.profile, view.usage, view.now).fits) {
                found.push_back(index);
            }
        }
        return found;
    }

    /// How long the first output may take from now on.
    static core::duration patience(const generation_demand& demand, core::instant now)
    {
        if (demand.may_have_run || demand.first_output_by == core::instant::max()) {
            return core::duration::max();
        }
        return demand.first_output_by > now
                   ? demand.first_output_by - now
                   : (demand.first_output_by - demand.arrived) / late_divisor;
    }

    /// `queued`: time to the first output in the shortest queue of an engine with room.
    static placement_step wait_or_refuse(const generation_demand& demand,
                                         const placement_view& view, core::duration queued)
    {
        const auto now = view.now;
        const auto wait = std::max(view.queue.wait(), queued);
        const bool on_time = now + wait <= demand.first_output_by;
        const bool late_already = demand.first_output_by <= now;
        const auto held = now - demand.arrived;
        const auto left = demand.deadline - now;
        const bool held_too_long = held > (held + left) / shares_of_time;
        const bool cannot_end = view.usage.run_time + wait > left;
        const bool refuse =
            !demand.may_have_run &&
            (held_too_long || cannot_end || (!on_time && !late_already && !demand.waiting));
        if (!refuse) {
            return {placement_kind::wait, 0, wait, {}};
        }
        return {placement_kind::refuse, 0, wait, std::min(wait, left / shares_of_time)};
    }
};

using policy_factory = std::unique_ptr<const placement_policy> (*)();

template <class Policy>
std::unique_ptr<const placement_policy> make()
{
    return std::make_unique<const Policy>();
}

constexpr std::array<std::pair<std::string_view, policy_factory>, 2> policy_factories{
    {{"at_once", &make<at_once>}, {"memory", &make<by_memory>}}};

} // namespace

std::unique_ptr<const placement_policy> make_placement(std::string_view name)
{
    const auto* const found = std::ranges::find(
        policy_factories, name, &std::pair<std::string_view, policy_factory>::first);
    return found == policy_factories.end() ? nullptr : found->second();
}

} // namespace ej::overload
