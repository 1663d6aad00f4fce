#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ej::cbor {

/// Limit for arrays and maps within each other; messages between daemons use fewer than ten levels.
inline constexpr std::size_t max_depth = 16;

/// Parses one CBOR item that fills `bytes`, which may come from an untrusted sender. A discarded
/// value (`is_discarded`) if it is invalid, nests deeper than `max_depth`, announces more entries
/// than it has, or has a string of indefinite length. Never throws.
[[nodiscard]] nlohmann::json parse(std::string_view bytes);
[[nodiscard]] nlohmann::json parse(const std::uint8_t* data, std::size_t size);

} // namespace ej::cbor
