#pragma once

#include <config/change_log.h>
#include <config/configuration.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace ej::config_wire {

/// Encodes the log as JSON text.
[[nodiscard]] std::string encode_change_log(const config::change_log& log);

/// Decodes the output of `encode_change_log`; ignores unknown fields. Error: InvalidArgument,
/// listing every fault with its place.
[[nodiscard]] absl::StatusOr<config::change_log> parse_change_log(std::string_view text);

/// Encodes the whole configuration as JSON text.
[[nodiscard]] std::string encode_configuration(const config::configuration& value);

/// Decodes the output of `encode_configuration`; unknown fields and errors as for
/// `parse_change_log`.
[[nodiscard]] absl::StatusOr<config::configuration> parse_configuration(std::string_view text);

} // namespace ej::config_wire
