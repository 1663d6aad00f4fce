#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>

namespace ej::cbor {

/// Parses a message from an untrusted sender. The result is discarded (`is_discarded`) if the bytes
/// are not one whole CBOR value, are nested too deeply, or announce more entries than they can
/// hold. Throws nothing.
[[nodiscard]] nlohmann::json parse(const std::uint8_t* begin, const std::uint8_t* end);
[[nodiscard]] nlohmann::json parse(std::string_view bytes);

} // namespace ej::cbor
