#include "peer_codec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace ej::front {

namespace {

// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t largest_datagram = 65'507;

using datagram = std::vector<std::uint8_t>;

/// As many heads of `opening` as a datagram holds.
datagram nested(const datagram& opening)
{
    datagram bytes;
    while (bytes.size() + opening.size() <= largest_datagram) {
        bytes.insert(bytes.end(), opening.begin(), opening.end());
    }
    return bytes;
}

} // namespace

TEST_CASE("a deeply nested datagram is rejected without a crash")
{
    // Arrays and maps with one element, of fixed and of open length.
    const auto opening = GENERATE(datagram{0x81}, datagram{0x9f}, datagram{0xa1, 0x60},
                                  datagram{0xbf, 0x60}, datagram{0x85, 0x03, 0x01, 0x02, 0xf4});
    CHECK_FALSE(decode_peer(nested(opening)).ok());
}

TEST_CASE("a datagram that announces more elements than memory holds is rejected without a crash")
{
    const auto head =
        GENERATE(std::uint8_t{0x9b}, std::uint8_t{0xbb}, std::uint8_t{0x5b}, std::uint8_t{0x7b});
    const auto last = GENERATE(std::uint8_t{0xfe}, std::uint8_t{0xff});
    datagram bytes{head, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, last};
    CHECK_FALSE(decode_peer(bytes).ok());
    bytes.insert(bytes.begin(), {0x82, 0x04});
    CHECK_FALSE(decode_peer(bytes).ok());
}

} // namespace ej::front
