#pragma once

#include <config/configuration.h>
#include <config/tail.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace ej::config_wire {

/// The log as JSON text.
[[nodiscard]] std::string encode_tail(const config::tail& log);

/// Reads what `encode_tail` wrote; unknown fields are skipped. Error: InvalidArgument, every
/// fault with its place.
[[nodiscard]] absl::StatusOr<config::tail> parse_tail(std::string_view text);

/// The whole configuration as JSON text.
[[nodiscard]] std::string encode_configuration(const config::configuration& value);

/// Reads what `encode_configuration` wrote; as `parse_tail`.
[[nodiscard]] absl::StatusOr<config::configuration> parse_configuration(std::string_view text);

} // namespace ej::config_wire
