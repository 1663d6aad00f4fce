#pragma once

#include <stand_ins/text_variant.h>

#include <core/digest.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ej::stand_ins {

/// Token `offset` of the answer to `prompt`: a short word and a space. Depends on the arguments
/// only.
[[nodiscard]] std::string token_at(std::string_view prompt, std::uint64_t offset,
                                   text_variant variant = text_variant::usual);

/// The first `count` tokens of the answer to `prompt`, concatenated.
[[nodiscard]] std::string answer_text(std::string_view prompt, std::uint64_t count);

/// Splits concatenated `token_at` tokens. Each token keeps its trailing space.
[[nodiscard]] std::vector<std::string> split_tokens(std::string_view text);

/// Digest of a text that ends with `token`; `before` is the digest of the preceding text.
[[nodiscard]] core::digest extend_digest(core::digest before, std::string_view token);

} // namespace ej::stand_ins
