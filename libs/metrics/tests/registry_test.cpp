#include <metrics/registry.h>

#include <catch2/catch.hpp>

namespace ej::metrics {

TEST_CASE("counters with the same name and different labels are counted separately")
{
    registry all;
    all.count("refusals_total", {{"reason", "queue_full"}});
    all.count("refusals_total", {{"reason", "queue_full"}});
    all.count("refusals_total", {{"reason", "draining"}});
    const auto text = all.text();
    CHECK(text.find("endivejunction_refusals_total{reason=\"queue_full\"} 2") != std::string::npos);
    CHECK(text.find("endivejunction_refusals_total{reason=\"draining\"} 1") != std::string::npos);
}

} // namespace ej::metrics
