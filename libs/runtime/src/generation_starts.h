#pragma once

#include "generation_start.h"
#include "services.h"

#include <http/request.h>

#include <absl/status/statusor.h>

namespace ej::runtime {

/// Reads POST /v1/generations: a new generation, or one taken up with Last-Event-ID and the
/// delivered tokens. Errors: InvalidArgument, NotFound for an unknown class, PermissionDenied for
/// an event id that is not the workspace's.
[[nodiscard]] absl::StatusOr<generation_start>
parse_new_generation(services& shared, const http::request& call,
                     const core::workspace_id& workspace);

/// Reads GET /v1/generations/{request} with Last-Event-ID. Errors: as above.
[[nodiscard]] absl::StatusOr<generation_start>
parse_resumed_generation(services& shared, const http::request& call,
                         const core::workspace_id& workspace);

} // namespace ej::runtime
