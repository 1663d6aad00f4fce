#pragma once

#include <seal/secret.h>

#include <string>
#include <string_view>

namespace ej::seal {

/// HMAC-SHA256 of `text`: 32 bytes.
[[nodiscard]] std::string hmac_sha256(const secret& key, std::string_view text);

} // namespace ej::seal
