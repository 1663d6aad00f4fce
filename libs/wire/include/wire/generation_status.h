#pragma once

#include <core/token_offset.h>

#include <string_view>

namespace ej::wire {

/// Reads an engine's answer to GET /generations/{request}/{attempt}: the tokens that it has; 0 when
/// it does not say.
[[nodiscard]] core::token_offset parse_generation_status(std::string_view text);

} // namespace ej::wire
