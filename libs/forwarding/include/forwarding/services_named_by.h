#pragma once

#include <forwarding/ruleset.h>

#include <core/service_id.h>

#include <set>

namespace ej::forwarding {

/// The services that `rules` declares or routes requests to.
[[nodiscard]] std::set<core::service_id> services_named_by(const ruleset& rules);

} // namespace ej::forwarding
