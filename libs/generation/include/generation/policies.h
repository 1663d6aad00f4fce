#pragma once

#include <generation/loss_policy.h>

#include <core/work_target.h>

#include <memory>

namespace ej::generation {

/// Returns the policy for a class with `target`: it checks the engine first if the target allows
/// little extra work, and otherwise restarts immediately on silence. The silence and check timeouts
/// add up to less than `target.resume`.
[[nodiscard]] std::shared_ptr<const loss_policy> policy_for(const core::work_target& target);

} // namespace ej::generation
