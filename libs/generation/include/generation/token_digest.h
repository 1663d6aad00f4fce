#pragma once

#include <core/digest.h>

#include <span>
#include <string>

namespace ej::generation {

/// Returns the digest of a text with digest `before` after `tokens` are appended. The empty text
/// has digest 0.
[[nodiscard]] core::digest extend(core::digest before, std::span<const std::string> tokens);

} // namespace ej::generation
