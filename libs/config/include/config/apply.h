#pragma once

#include <config/committed_change.h>
#include <config/configuration.h>

namespace ej::config {

/// Returns `before` with `next` applied; `next.revision` must directly follow the revision of
/// `before`.
[[nodiscard]] configuration apply(const configuration& before, const committed_change& next);

/// Revision that last changed the object named by `what`; 0 if there is no such object.
[[nodiscard]] core::revision revision_of(const configuration& in_force, const action& what);

} // namespace ej::config
