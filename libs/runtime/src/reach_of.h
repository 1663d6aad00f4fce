#pragma once

#include <routing/reachable_domains.h>

#include "endpoint_directory.h"

#include <core/failure_domain_id.h>

namespace ej::runtime {

/// Returns `local`, followed by every other domain in which `endpoints` has an endpoint.
[[nodiscard]] routing::reachable_domains reach_of(const endpoint_directory::map& endpoints,
                                                  const core::failure_domain_id& local);

} // namespace ej::runtime
