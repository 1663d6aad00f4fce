#pragma once

#include <suspects/request_digest.h>

#include <core/workspace_id.h>

#include <string_view>

namespace ej::suspects {

/// Returns the digest of a request. All daemons compute the same value.
[[nodiscard]] request_digest digest_of(const core::workspace_id& workspace, std::string_view body);

} // namespace ej::suspects
