#pragma once

#include "http_request.h"

#include <string>
#include <string_view>

namespace ej::stand_ins {

/// Decodes percent-encoded bytes (%XX).
[[nodiscard]] std::string percent_decode(std::string_view text);

/// Splits a request target into `into.path` and `into.query`, both decoded.
void parse_target(std::string_view target, http_request& into);

} // namespace ej::stand_ins
