#include "indefinite_strings.h"

#include <cstddef>
#include <numeric>

namespace ej::cbor {

namespace {

constexpr unsigned major_type_shift = 5;
constexpr unsigned additional_mask = 0x1f;
constexpr unsigned byte_string = 2;
constexpr unsigned text_string = 3;

// Additional information of a head (RFC 8949, 3): from `one_byte_follows` to `eight_bytes_follow`,
// 1, 2, 4 or 8 bytes with the value follow.
constexpr unsigned one_byte_follows = 24;
constexpr unsigned eight_bytes_follow = 27;
constexpr unsigned indefinite = 31;

constexpr unsigned bits_per_byte = 8;

} // namespace

bool has_indefinite_string(std::span<const std::uint8_t> bytes)
{
    // The items within an array or a map follow its head, so that one pass meets all heads.
    while (!bytes.empty()) {
        const unsigned type = bytes.front() >> major_type_shift;
        const unsigned additional = bytes.front() & additional_mask;
        const bool is_string = type == byte_string || type == text_string;
        if (is_string && additional == indefinite) {
            return true;
        }
        const bool long_head = additional >= one_byte_follows && additional <= eight_bytes_follow;
        const std::size_t value_bytes =
            long_head ? std::size_t{1} << (additional - one_byte_follows) : 0;
        bytes = bytes.subspan(1);
        if (bytes.size() < value_bytes) {
            return false;
        }
        const auto value_part = bytes.first(value_bytes);
        const auto value = std::accumulate(
            value_part.begin(), value_part.end(), std::uint64_t{long_head ? 0 : additional},
            [](std::uint64_t sum, std::uint8_t byte) { return (sum << bits_per_byte) | byte; });
        bytes = bytes.subspan(value_bytes);
        if (is_string && value > bytes.size()) {
            return false;
        }
        bytes = bytes.subspan(is_string ? value : 0);
    }
    return false;
}

} // namespace ej::cbor
