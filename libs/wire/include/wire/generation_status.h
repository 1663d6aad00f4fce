#pragma once

#include <core/token_offset.h>

#include <string_view>

namespace ej::wire {

/// Parses an engine's response to GET /generations/{request}/{attempt}. Returns the number of
/// tokens generated so far, or 0 when the response does not contain it.
[[nodiscard]] core::token_offset parse_generation_status(std::string_view text);

} // namespace ej::wire
