#include "entries.h"

#include <membership/merge.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <numeric>
#include <vector>

namespace ej::membership {

namespace {

template <class Entry>
void check_laws()
{
    rc::prop("commutative, associative, idempotent",
             [](const Entry& a, const Entry& b, const Entry& c) {
                 RC_ASSERT(merge(a, b) == merge(b, a));
                 RC_ASSERT(merge(merge(a, b), c) == merge(a, merge(b, c)));
                 RC_ASSERT(merge(a, a) == a);
                 RC_ASSERT(merge(merge(a, b), b) == merge(a, b));
             });
}

} // namespace

TEST_CASE("merging entries of a daemon does not depend on order or repetition")
{
    check_laws<member_entry>();
}

TEST_CASE("merging entries of an endpoint does not depend on order or repetition")
{
    check_laws<endpoint_entry>();
}

TEST_CASE("merging summaries does not depend on order or repetition")
{
    check_laws<domain_summary>();
}

TEST_CASE("merging endpoint entries one by one equals evaluating all of them at once")
{
    rc::prop("newest generation, and leaving if any entry has it", [] {
        const auto statements = *rc::gen::nonEmpty<std::vector<endpoint_entry>>();
        const auto merged =
            std::accumulate(statements.begin(), statements.end(), statements.front(),
                            [](const auto& left, const auto& right) { return merge(left, right); });
        generation newest;
        bool leaving = false;
        for (const auto& entry : statements) {
            newest = std::max(newest, entry.observed_generation);
            leaving |= entry.leaving;
        }
        bool gone = false;
        for (const auto& entry : statements) {
            gone |= entry.observed_generation == newest && entry.gone;
        }
        RC_ASSERT(merged.observed_generation == newest);
        RC_ASSERT(merged.gone == gone);
        RC_ASSERT(merged.leaving == leaving);
    });
}

} // namespace ej::membership
