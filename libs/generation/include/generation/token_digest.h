#pragma once

#include <core/digest.h>

#include <span>
#include <string>

namespace ej::generation {

/// The digest of a text that has digest `before` once `tokens` are appended; 0 for the empty text.
[[nodiscard]] core::digest extend(core::digest before, std::span<const std::string> tokens);

} // namespace ej::generation
