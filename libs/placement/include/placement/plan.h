#pragma once

#include <placement/assignment.h>

#include <compare>
#include <set>
#include <vector>

namespace ej::placement {

/// The desired state of all engines of a failure domain.
struct plan {
    std::vector<assignment> assignments; ///< Sorted.

    /// The models assigned to one engine.
    [[nodiscard]] std::set<model_id> models_of(const core::endpoint_id& engine) const;

    /// The number of engines that one model is assigned to.
    [[nodiscard]] std::size_t replicas_of(const model_id& model) const;

    friend auto operator<=>(const plan&, const plan&) = default;
};

} // namespace ej::placement
