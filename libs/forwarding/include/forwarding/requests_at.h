#pragma once

#include <forwarding/candidate.h>
#include <forwarding/endpoint_stats.h>

#include <core/instant.h>

namespace ej::forwarding {

/// Estimated number of requests of all daemons at an endpoint, running or waiting.
[[nodiscard]] double requests_at(const endpoint_stats& known, core::instant now);

/// True if a further request would probably run at the endpoint at once.
[[nodiscard]] bool has_room(const candidate& one, core::instant now);

} // namespace ej::forwarding
