#include <pressure/holding_table.h>

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

namespace ej::pressure {

void holding_table::put(std::uint64_t number, const holding& held)
{
    auto& known = held_[number];
    bytes_ = bytes_ - known.bytes + held.bytes;
    known = held;
}

void holding_table::erase(std::uint64_t number)
{
    const auto known = held_.find(number);
    if (known != held_.end()) {
        bytes_ -= known->second.bytes;
        held_.erase(known);
    }
}

std::optional<std::uint64_t> holding_table::next_to_close(const holding_limits& limits) const
{
    if (!exceeds(limits)) {
        return std::nullopt;
    }
    // With too many connections, any of them may go; else only one whose end frees much memory.
    const auto least_bytes = held_.size() > limits.connections ? 0 : limits.small_bytes + 1;
    auto candidates = held_ | std::views::filter([&](const auto& entry) {
                          const holding& one = entry.second;
                          return one.order != close_order::never && one.bytes >= least_bytes;
                      });
    const auto rank = [](const auto& entry) {
        return std::tuple(entry.second.order, entry.second.since, entry.first);
    };
    const auto first = std::ranges::min_element(candidates, {}, rank);
    return first == candidates.end() ? std::nullopt : std::optional(first->first);
}

} // namespace ej::pressure
