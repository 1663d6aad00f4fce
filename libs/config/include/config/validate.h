#pragma once

#include <config/change.h>
#include <config/configuration.h>

#include <core/findings.h>

namespace ej::config {

/// Every fault of `wanted` if it were made to `before`: names, ranges of the target, and shares
/// that add up to more than the fleet. Places are fields, such as "target.finish_ms".
[[nodiscard]] core::findings validate(const configuration& before, const change& wanted);

} // namespace ej::config
