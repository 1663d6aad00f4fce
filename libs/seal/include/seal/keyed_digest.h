#pragma once

#include <seal/secret.h>

#include <compare>
#include <cstdint>
#include <string_view>

namespace ej::seal {

/// The first 128 bits of an HMAC-SHA256.
struct keyed_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend constexpr auto operator<=>(const keyed_digest&, const keyed_digest&) = default;
};

/// The digest of `text` under `key`; without the key, two texts with the same digest cannot be
/// found.
[[nodiscard]] keyed_digest digest(const secret& key, std::string_view text);

} // namespace ej::seal
