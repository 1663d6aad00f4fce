#pragma once

#include <suspects/request_digest.h>

#include <core/workspace_id.h>

#include <string_view>

namespace ej::suspects {

/// The digest of a request, equal at every daemon.
[[nodiscard]] request_digest digest_of(const core::workspace_id& workspace, std::string_view body);

} // namespace ej::suspects
