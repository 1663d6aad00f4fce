#pragma once

#include <forwarding/route.h>

#include <core/service_id.h>

#include <cstdint>

namespace ej::forwarding {

/// Selects a backend of route `by` in proportion to the weights. Equal values of `draw` select the
/// same service.
[[nodiscard]] const core::service_id& draw_service(const route& by, std::uint64_t draw);

} // namespace ej::forwarding
