#pragma once

#include <config/committed_change.h>
#include <config/configuration.h>

namespace ej::config {

/// The configuration after `next`, whose revision is the one that follows `before`'s.
[[nodiscard]] configuration apply(const configuration& before, const committed_change& next);

/// Revision that last changed the object `what` names; 0 when there is none.
[[nodiscard]] core::revision revision_of(const configuration& in_force, const action& what);

} // namespace ej::config
