#include <core/address.h>
#include <core/findings.h>
#include <core/refusal_reason.h>
#include <core/work_kind.h>

#include <catch2/catch.hpp>

#include <algorithm>

namespace ej::core {

TEST_CASE("an address is parsed from and formatted as host:port")
{
    CHECK(parse_address("127.0.0.1:8080") == address{"127.0.0.1", 8080});
    CHECK(to_string(address{"127.0.0.1", 8080}) == "127.0.0.1:8080");
}

TEST_CASE("an address without host or port, or with a port out of range, is not parsed")
{
    for (const auto* text : {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "h:8x"}) {
        CHECK(parse_address(text) == std::nullopt);
    }
}

TEST_CASE("findings are reported together with their places")
{
    findings inner;
    inner.add(".target", "must be positive");
    findings all;
    all.add("--listen", "missing");
    all.add_all("classes[1]", inner);
    CHECK(all.status().message() == "--listen: missing\nclasses[1].target: must be positive");
}

TEST_CASE("refusal reasons have distinct names and a work kind is parsed from its name")
{
    std::vector<std::string_view> names;
    std::ranges::transform(all_refusal_reasons(), std::back_inserter(names),
                           [](refusal_reason reason) { return to_string(reason); });
    std::ranges::sort(names);
    CHECK(std::ranges::adjacent_find(names) == names.end());
    CHECK(parse_work_kind(to_string(work_kind::non_idempotent)) == work_kind::non_idempotent);
    CHECK(parse_work_kind("weights") == std::nullopt);
}

} // namespace ej::core
