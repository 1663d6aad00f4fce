#pragma once

#include <overload/generation_demand.h>
#include <overload/placement_step.h>
#include <overload/placement_view.h>

#include <memory>
#include <optional>
#include <string_view>

namespace ej::overload {

/// Decides whether a generation is sent, waits or is refused. Stateless and thread-safe.
class placement_policy {
public:
    placement_policy() = default;
    virtual ~placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    placement_policy(placement_policy&&) = delete;
    placement_policy& operator=(placement_policy&&) = delete;

    /// Empty if no engine accepts requests.
    [[nodiscard]] virtual std::optional<placement_step> place(const generation_demand& demand,
                                                              const placement_view& view) const = 0;
};

/// The policy named `name`: "at_once" sends each generation to an engine, "memory" only to one that
/// has room for it; null if unknown.
[[nodiscard]] std::unique_ptr<const placement_policy> make_placement(std::string_view name);

} // namespace ej::overload
