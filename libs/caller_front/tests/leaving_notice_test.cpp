#include "peer_codec.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ej::front {

TEST_CASE("a datagram of a layout that this build does not know is rejected")
{
    // [200, [["i", "1"]]]: what a later build might send.
    const std::vector<std::uint8_t> bytes{0x82, 0x18, 200, 0x81, 0x82, 0x61, 'i', 0x61, '1'};
    CHECK_FALSE(decode_peer(bytes).ok());
}

TEST_CASE("a notice of endpoints that leave fits into a datagram, and one that is too long is "
          "rejected")
{
    forwarding::leaving_notice notice;
    while (notice.runs.size() < forwarding::leaving_notice::max_runs) {
        const auto number = std::to_string(notice.runs.size() + 1'000'000'000);
        notice.runs.push_back(
            {core::endpoint_id("i-" + number), core::incarnation_id("1780219792" + number)});
    }
    const auto bytes = encode(notice);
    CHECK(bytes.size() <= 1'400);
    CHECK(decode_peer(bytes).ok());
    notice.runs.push_back(notice.runs.front());
    CHECK_FALSE(decode_peer(encode(notice)).ok());
}

} // namespace ej::front
