#pragma once

#include <config/configuration.h>
#include <config/versioned.h>
#include <config/workspace.h>

#include <core/work_class.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace ej::config_wire {

/// Encodes a class of work and the revision that last changed it as JSON text.
[[nodiscard]] std::string encode_class(const config::versioned<core::work_class>& value);

/// Parses a class; fields missing from `text` keep their values from `defaults`. Error:
/// InvalidArgument, listing every fault with its place.
[[nodiscard]] absl::StatusOr<core::work_class> parse_class(std::string_view text,
                                                           const core::work_class& defaults);

/// Encodes a workspace and the revision that last changed it as JSON text.
[[nodiscard]] std::string encode_workspace(const config::versioned<config::workspace>& value);

/// Parses a workspace; defaults and errors as for `parse_class`.
[[nodiscard]] absl::StatusOr<config::workspace> parse_workspace(std::string_view text,
                                                                const config::workspace& defaults);

/// Encodes all classes as a JSON object {"revision","classes":[...]}.
[[nodiscard]] std::string encode_classes(const config::configuration& value);

/// Encodes all workspaces as a JSON object {"revision","workspaces":[...]}.
[[nodiscard]] std::string encode_workspaces(const config::configuration& value);

} // namespace ej::config_wire
