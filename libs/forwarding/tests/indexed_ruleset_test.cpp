#include <forwarding/draw_service.h>
#include <forwarding/indexed_ruleset.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

namespace ej::forwarding {

namespace {

route route_of(std::string host, std::string prefix)
{
    route made;
    made.name = host + prefix;
    made.host = std::move(host);
    made.prefix = std::move(prefix);
    made.backends = {{core::service_id("s"), 1}};
    return made;
}

/// Reference implementation: a linear search over all routes.
const route* naive_find(const std::vector<route>& routes, const std::string& host,
                        const std::string& path)
{
    const route* best = nullptr;
    for (const route& one : routes) {
        if (one.host == host && path.starts_with(one.prefix) &&
            (best == nullptr || one.prefix.size() > best->prefix.size())) {
            best = &one;
        }
    }
    return best;
}

} // namespace

TEST_CASE("the route with the longest matching prefix is found, as by a linear search")
{
    const bool holds = rc::check([] {
        const auto draw_path = [] {
            std::string path = "/";
            const auto parts = *rc::gen::inRange(0, 4);
            for (int part = 0; part < parts; ++part) {
                path += *rc::gen::element<std::string>("a", "b", "ab") + "/";
            }
            return path;
        };
        ruleset rules;
        std::set<std::string> seen;
        const auto count = *rc::gen::inRange(0, 12);
        for (int number = 0; number < count; ++number) {
            const auto prefix = draw_path();
            const auto host = *rc::gen::element<std::string>("one", "two");
            if (seen.insert(host + prefix).second) {
                rules.routes.push_back(route_of(host, prefix));
            }
        }
        const auto path = draw_path() + "x";
        const auto routes = rules.routes;
        const indexed_ruleset book(std::move(rules));
        const auto* const found = book.find_route("ONE:80", path);
        const auto* const expected = naive_find(routes, "one", path);
        const std::string prefix = found == nullptr ? "none" : found->prefix;
        const std::string expected_prefix = expected == nullptr ? "none" : expected->prefix;
        RC_ASSERT(prefix == expected_prefix);
    });
    CHECK(holds);
}

TEST_CASE("a key identifies its workspace, and without workspaces no key is required")
{
    ruleset rules;
    rules.routes = {route_of("h", "/a/")};
    CHECK_FALSE(indexed_ruleset(rules).requires_key(rules.routes.front()));
    rules.workspaces = {{core::workspace_id("pilots"), {"k1", "k2"}, 3}};
    const indexed_ruleset book(rules);
    CHECK(book.requires_key(rules.routes.front()));
    REQUIRE(book.find_holder("k2") != nullptr);
    CHECK(*book.find_holder("k2") == key_holder{core::workspace_id("pilots"), 3});
    CHECK(book.find_holder("") == nullptr);
    rules.routes.front().needs_key = false;
    CHECK_FALSE(book.requires_key(rules.routes.front()));
}

TEST_CASE("requests are distributed to backends in proportion to their weights")
{
    route by = route_of("h", "/a/");
    by.backends = {{core::service_id("old"), 3}, {core::service_id("new"), 1}};
    std::map<std::string, int> drawn;
    for (std::uint64_t draw = 0; draw < 40; ++draw) {
        ++drawn[draw_service(by, draw).text()];
    }
    CHECK(drawn == std::map<std::string, int>{{"old", 30}, {"new", 10}});
}

} // namespace ej::forwarding
