#pragma once

#include <generation/event.h>

#include <absl/status/statusor.h>

#include <string_view>

namespace ej::wire {

/// Reads one line of an engine's stream for the attempt numbered `expected`.
/// Error: InvalidArgument when the line is not a start, tokens or end message.
[[nodiscard]] absl::StatusOr<generation::event> parse_engine_line(std::string_view line,
                                                                  core::attempt_number expected);

} // namespace ej::wire
