#include <membership/gossip.h>

#include <membership/fingerprint.h>

#include <algorithm>

namespace ej::membership {

// Dead daemons and gone endpoints are not part of the digest: daemons remove them at different
// times, and such a difference needs no message. Their entries are still sent when the digests
// differ, for example because the peer still counts one of them as present.
digest_table gossip::digest(bool answer_wanted)
{
    digest_table table;
    table.answer_wanted = answer_wanted;
    for (const auto& entry : members_.reachable()) {
        table.members ^= fingerprint(entry);
    }
    endpoints_.for_each_present([&](const endpoint_entry& entry) {
        table.endpoints.at(bucket_of(entry.endpoint.name)) ^= fingerprint(entry);
    });
    return table;
}

void gossip::on(const digest_received& incoming, core::instant /*now*/, effects& out)
{
    if (!same_domain(incoming.from)) {
        return;
    }
    const auto own = digest(false);
    const auto& other = incoming.table;
    if (own.members == other.members && own.endpoints == other.endpoints) {
        return;
    }
    if (own.members != other.members) {
        enqueue(members_.all(), incoming.from);
    }
    const auto differs = [&](const core::endpoint_id& name) {
        const auto bucket = bucket_of(name);
        return own.endpoints.at(bucket) != other.endpoints.at(bucket);
    };
    enqueue(endpoints_.all_of(differs), incoming.from);
    if (!other.answer_wanted) {
        return;
    }
    outboxes_.with(incoming.from, [&](const auto& outboxes) {
        const auto found = outboxes.find(incoming.from);
        if (found != outboxes.end()) {
            out.emplace_back(send_digest{found->second.to(), own});
        }
    });
}

void gossip::exchange_digests(core::instant now, effects& out)
{
    if (now < schedule_.load()->next_exchange) {
        return;
    }
    schedule_.update([&](gossip_schedule next) {
        next.next_exchange = now + settings_.digest_interval;
        return next;
    });
    endpoints_.remove_expired(now);
    std::vector<core::address> peers;
    outboxes_.for_each_shard([&](const auto& outboxes) {
        for (const auto& [vm, box] : outboxes) {
            if (box.same_domain()) {
                peers.push_back(box.to());
            }
        }
    });
    if (!peers.empty()) {
        std::ranges::sort(peers);
        out.emplace_back(send_digest{peers[next_random() % peers.size()], digest(true)});
    }
    probe_dead(out);
}

// After a network partition, the two halves of a failure domain mark each other dead and keep no
// connections. One attempt per interval detects the end of the partition.
void gossip::probe_dead(effects& out)
{
    auto dead = members_.all();
    std::erase_if(dead, [](const auto& entry) { return entry.state != member_state::dead; });
    if (!dead.empty()) {
        const auto& chosen = dead[next_random() % dead.size()];
        out.emplace_back(send_digest{chosen.where, digest(true)});
    }
}

} // namespace ej::membership
