#pragma once

#include <forwarding/route.h>

#include <core/service_id.h>

#include <cstdint>

namespace ej::forwarding {

/// The service of a request of `by`, by the weights of its backends; equal for equal `draw`.
[[nodiscard]] const core::service_id& draw_service(const route& by, std::uint64_t draw);

} // namespace ej::forwarding
