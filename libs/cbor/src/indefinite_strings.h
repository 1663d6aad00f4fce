#pragma once

#include <cstdint>
#include <span>

namespace ej::cbor {

/// True if a byte or text string of `bytes` has no length in its head. Bytes that are no CBOR are
/// examined up to the first head that can't be read.
[[nodiscard]] bool has_indefinite_string(std::span<const std::uint8_t> bytes);

} // namespace ej::cbor
