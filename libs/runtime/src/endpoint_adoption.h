#pragma once

#include "daemon_context.h"

#include <core/endpoint.h>

#include <vector>

namespace ej::runtime {

/// Replaces the endpoints in use by `listed`, in the directory, the pools, the reach and the gate.
/// Calls must not overlap.
void adopt_endpoints(daemon_context& shared, const std::vector<core::endpoint>& listed);

} // namespace ej::runtime
