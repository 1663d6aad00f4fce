#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace ej::cbor {

/// Limit for arrays and maps within each other; messages between daemons use fewer than ten levels.
inline constexpr std::size_t max_depth = 16;

/// Parses one CBOR item that fills `bytes`. A discarded value if it is invalid, nests deeper than
/// `max_depth` or ends early. Never throws.
[[nodiscard]] nlohmann::json parse(std::string_view bytes);

} // namespace ej::cbor
