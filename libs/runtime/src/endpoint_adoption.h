#pragma once

#include "services.h"

#include <core/endpoint.h>

#include <vector>

namespace ej::runtime {

/// Puts `listed` in use in place of the endpoints before it: directory, pools, reach and gate.
/// Calls come one after another.
void adopt_endpoints(services& shared, const std::vector<core::endpoint>& listed);

} // namespace ej::runtime
