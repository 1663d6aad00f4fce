#include <config/apply.h>
#include <config/tree_position.h>
#include <config/validate.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

namespace ej::config {

namespace {

std::vector<member> members_of_one_domain(std::size_t count)
{
    std::vector<member> members;
    members.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back({core::vm_id("vm" + std::to_string(i)), core::failure_domain_id("d")});
    }
    return members;
}

} // namespace

TEST_CASE("members of a domain choose the same watchers, and every other member has one parent")
{
    rc::prop("domain of any size, any fanout", [] {
        const auto size = *rc::gen::inRange<std::size_t>(1, 60);
        const auto fanout = *rc::gen::inRange<std::uint32_t>(1, 6);
        const auto members = members_of_one_domain(size);
        std::map<core::vm_id, int> passed_on;
        std::size_t watchers = 0;
        for (const member& self : members) {
            const tree_position place = find_tree_position(self, members, 2, fanout);
            watchers += place.rank < 2 ? 1 : 0;
            for (const auto& child : place.children) {
                ++passed_on[child];
            }
        }
        RC_ASSERT(watchers == std::min<std::size_t>(2, size));
        RC_ASSERT(passed_on.size() + watchers == size);
        RC_ASSERT(std::ranges::all_of(passed_on, [](const auto& one) { return one.second == 1; }));
    });
}

TEST_CASE("validation reports all faults of a change, each with its field")
{
    core::work_target target;
    target.finish = std::chrono::milliseconds(0);
    target.max_waiting = 0;
    const change wanted{change_id("c"), {}, put_class{{core::class_id("a b"), {}, {}, target}}};
    const std::string message(validate({}, wanted).status().message());
    for (const auto* place :
         {"name: ", "service: ", "target.finish_ms: ", "target.max_waiting: "}) {
        CHECK(message.find(place) != std::string::npos);
    }
}

TEST_CASE("a share that makes the sum of all shares exceed the fleet is rejected")
{
    const put_workspace most{{core::workspace_id("a"), 900'000}};
    const configuration before = apply({}, {core::revision(1), {change_id("c1"), {}, most}});
    const put_workspace more{{core::workspace_id("b"), 100'001}};
    CHECK_FALSE(validate(before, {change_id("c2"), {}, more}).empty());
    CHECK(validate(before, {change_id("c3"), core::revision(1), most}).empty());
}

} // namespace ej::config
