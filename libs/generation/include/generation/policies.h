#pragma once

#include <generation/loss_policy.h>

#include <core/work_target.h>

#include <memory>

namespace ej::generation {

/// The policy for a class with `target`: asks first when the target allows little extra work,
/// restarts at once on silence otherwise. Silence and answer bounds add up to less than
/// `target.resume`.
[[nodiscard]] std::shared_ptr<const loss_policy> policy_for(const core::work_target& target);

} // namespace ej::generation
