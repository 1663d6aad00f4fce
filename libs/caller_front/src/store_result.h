#pragma once

#include <forwarding/store_result.h>

#include <absl/status/status.h>

namespace ej::front {

/// How a query to the store ended that returned `status`.
[[nodiscard]] forwarding::store_result store_result_of(const absl::Status& status);

} // namespace ej::front
