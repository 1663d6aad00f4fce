#pragma once

#include <harness/http_call.h>
#include <harness/http_result.h>

#include <core/address.h>

#include <absl/status/statusor.h>

namespace ej::harness {

/// Sends `call` on a new connection and reads the whole response. Connecting, sending and
/// reading may each take up to 90 s.
/// Error: Unavailable when the connection broke or a step timed out.
[[nodiscard]] absl::StatusOr<http_result> send(const core::address& where, const http_call& call);

} // namespace ej::harness
