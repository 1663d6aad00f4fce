#pragma once

#include <suspects/request_digest.h>

#include <core/workspace_id.h>

#include <initializer_list>
#include <string_view>

namespace ej::suspects {

/// Returns the digest of a request. All daemons compute the same value.
[[nodiscard]] request_digest digest_of(const core::workspace_id& workspace, std::string_view body);

/// The digest of a request whose body is the concatenation of `parts`, without building it.
[[nodiscard]] request_digest digest_of(const core::workspace_id& workspace,
                                       std::initializer_list<std::string_view> parts);

} // namespace ej::suspects
