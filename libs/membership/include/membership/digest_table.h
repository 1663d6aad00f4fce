#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::membership {

/// Number of buckets that a digest divides the endpoints into.
inline constexpr std::size_t endpoint_buckets = 32;

/// A message between daemons: hashes of the sender's entries, to find where two daemons differ.
struct digest_table {
    std::uint64_t members = 0;
    std::array<std::uint64_t, endpoint_buckets> endpoints{};
    bool answer_wanted = false; ///< The receiver replies with its own table if the two differ.

    friend auto operator<=>(const digest_table&, const digest_table&) = default;
};

} // namespace ej::membership
