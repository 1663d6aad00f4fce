#pragma once

#include "daemon_context.h"
#include "generation_start.h"

#include <http/request.h>

#include <absl/status/statusor.h>

namespace ej::runtime {

/// Parses POST /v1/generations: a new generation, or one resumed with Last-Event-ID and the
/// delivered tokens. Errors: InvalidArgument, NotFound for an unknown class, PermissionDenied for
/// an event id that does not belong to the workspace.
[[nodiscard]] absl::StatusOr<generation_start>
parse_new_generation(daemon_context& shared, const http::request& call,
                     const core::workspace_id& workspace);

/// Parses GET /v1/generations/{request} with Last-Event-ID. Errors: as `parse_new_generation`.
[[nodiscard]] absl::StatusOr<generation_start>
parse_resumed_generation(daemon_context& shared, const http::request& call,
                         const core::workspace_id& workspace);

} // namespace ej::runtime
