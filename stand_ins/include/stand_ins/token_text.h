#pragma once

#include <stand_ins/text_variant.h>

#include <core/digest.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ej::stand_ins {

/// Token `offset` of the answer to `prompt`: a short word and a space. A pure function.
[[nodiscard]] std::string token_at(std::string_view prompt, std::uint64_t offset,
                                   text_variant variant = text_variant::usual);

/// The first `count` tokens of the answer to `prompt`, joined.
[[nodiscard]] std::string answer_text(std::string_view prompt, std::uint64_t count);

/// Splits a text of `token_at` words into its tokens.
[[nodiscard]] std::vector<std::string> split_tokens(std::string_view text);

/// Digest of a text that ends with `token`, given the digest of the text before it.
[[nodiscard]] core::digest extend_digest(core::digest before, std::string_view token);

} // namespace ej::stand_ins
