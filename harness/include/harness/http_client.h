#pragma once

#include <harness/http_call.h>
#include <harness/http_result.h>

#include <core/address.h>

#include <absl/status/statusor.h>

namespace ej::harness {

/// Sends `call` on a new connection and reads the whole answer; blocks for 90 s at most.
/// Error: Unavailable when the connection broke or the time passed.
[[nodiscard]] absl::StatusOr<http_result> send(const core::address& where, const http_call& call);

} // namespace ej::harness
