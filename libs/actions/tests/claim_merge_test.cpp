#include <actions/claim_merge.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

namespace ej::actions {

namespace {

claim claim_of(std::uint64_t action, std::uint64_t owner_number, std::uint64_t nonce)
{
    const owner claimant{core::incarnation_id(std::to_string(owner_number)), {"127.0.0.1", 1}};
    return {{0, action}, claimant, claim_nonce(nonce), wall_time{}};
}

// Reference model: a map in which the first claim of an action wins.
struct reference_bucket {
    std::map<action_id, claim> held;

    verdict_kind add(const claim& wanted)
    {
        const claim& holder = held.try_emplace(wanted.action, wanted).first->second;
        if (holder.claimant != wanted.claimant) {
            return verdict_kind::conflict;
        }
        return holder.nonce == wanted.nonce ? verdict_kind::bound : verdict_kind::stale;
    }
};

auto any_claim()
{
    const auto few = rc::gen::inRange<std::uint64_t>(0, 6);
    return rc::gen::apply(claim_of, rc::gen::inRange<std::uint64_t>(0, 20), few, few);
}

} // namespace

TEST_CASE("batched claims get the same verdicts as in a map in which the first claim wins")
{
    rc::prop("same verdicts, same owners", [] {
        const auto groups = *rc::gen::container<std::vector<std::vector<claim>>>(
            rc::gen::container<std::vector<claim>>(any_claim()));
        claim_bucket bucket;
        reference_bucket naive;
        for (const std::vector<claim>& group : groups) {
            const claim_merge merged = merge(bucket, group, {});
            std::multimap<claim, verdict_kind> actual;
            std::multimap<claim, verdict_kind> expected;
            for (const claim& added : merged.added) {
                actual.emplace(added, verdict_kind::bound);
            }
            for (const claim_verdict& verdict : merged.verdicts) {
                actual.emplace(verdict.claim, verdict.kind);
            }
            for (const claim& wanted : group) {
                expected.emplace(wanted, naive.add(wanted));
            }
            const auto sorted = [](const auto& all) {
                std::vector<std::pair<claim, verdict_kind>> list(all.begin(), all.end());
                std::ranges::sort(list);
                return list;
            };
            RC_ASSERT(sorted(actual) == sorted(expected));
            bucket = merged.next;
        }
        RC_ASSERT(bucket.entries.size() == naive.held.size());
        for (const auto& [action, holder] : naive.held) {
            const claim_entry* entry = find_entry(bucket, action);
            RC_ASSERT(entry != nullptr);
            RC_ASSERT(bucket.owners.at(entry->owner_index) == holder.claimant);
        }
    });
}

TEST_CASE("a claim is pruned only after the whole retention has passed since it was first seen")
{
    rc::prop("same as a map of first-seen times", [] {
        using namespace std::chrono_literals;
        claim_bucket bucket;
        first_seen_times first_seen;
        std::map<action_id, core::instant> naive;
        core::instant now;
        for (const auto& wanted : *rc::gen::container<std::vector<claim>>(any_claim())) {
            now += 1s;
            const claim_bucket kept = pruned(bucket, first_seen, now - 9s);
            first_seen = carry_over_first_seen(bucket, first_seen, kept, now);
            std::erase_if(naive, [&](const auto& entry) { return entry.second <= now - 9s; });
            const claim_bucket next = merge(kept, {wanted}, {}).next;
            first_seen = carry_over_first_seen(kept, first_seen, next, now);
            bucket = next;
            naive.try_emplace(wanted.action, now);
            RC_ASSERT(bucket.entries.size() == naive.size());
            for (std::size_t index = 0; index < first_seen.size(); ++index) {
                RC_ASSERT(naive.at(bucket.entries[index].action) == first_seen[index]);
            }
        }
    });
}

TEST_CASE("a claim is not added if the bucket is full or the submission arrived too long ago")
{
    claim_limits limits;
    limits.max_entries = 1;
    const auto full = merge(claim_bucket{}, {claim_of(1, 1, 1), claim_of(2, 1, 2)}, limits);
    REQUIRE(full.verdicts.size() == 1);
    CHECK(full.verdicts.front().kind == verdict_kind::failed);

    claim_bucket late;
    late.clock = wall_time(limits.retention - limits.longest_retry - 2 * limits.clock_skew);
    CHECK(merge(late, {claim_of(1, 1, 1)}, limits).added.empty());
    late.clock -= std::chrono::milliseconds(1);
    CHECK(merge(late, {claim_of(1, 1, 1)}, limits).added.size() == 1);
}

} // namespace ej::actions
