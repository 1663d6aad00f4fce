#include "liveness_check.h"
#include "upstream_pool.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace ej::front {

TEST_CASE("an address that is not an IP address is reported unreachable without a crash")
{
    asio::io_context lane{1};
    upstream_pool pool(lane);
    std::optional<bool> alive;
    const auto check = std::make_shared<liveness_check>(pool, core::address{"host", 80},
                                                        [&](bool result) { alive = result; });
    check->start(std::chrono::milliseconds(100));
    lane.run();
    CHECK(alive == false);
}

} // namespace ej::front
