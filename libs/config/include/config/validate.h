#pragma once

#include <config/change.h>
#include <config/configuration.h>

#include <core/findings.h>

namespace ej::config {

/// Every fault that `wanted` would have as a change of `before`: invalid names, targets out of
/// range, shares that add up to more than the fleet, and deletion of an object that does not exist.
/// The place of a finding is a field, such as "target.finish_ms".
[[nodiscard]] core::findings validate(const configuration& before, const change& wanted);

} // namespace ej::config
