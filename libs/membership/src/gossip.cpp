#include <membership/gossip.h>

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <variant>

namespace ej::membership {

gossip::gossip(member_directory& members, endpoint_directory& endpoints,
               const peer_strategy& strategy, gossip_settings settings, std::uint64_t seed)
    : members_(members), endpoints_(endpoints), strategy_(strategy), settings_(settings),
      seed_(seed), self_(members.self().vm), domain_(members.self().domain), kept_connections_({}),
      capacities_({}), schedule_({})
{
}

effects gossip::handle(const event& incoming, core::instant now)
{
    effects out;
    std::visit([&](const auto& one) { on(one, now, out); }, incoming);
    flush(now, out);
    return out;
}

core::instant gossip::next_wake()
{
    const auto schedule = schedule_.load();
    auto wake = std::min(schedule->next_exchange, schedule->next_summary);
    outboxes_.for_each_shard([&](const auto& outboxes) {
        for (const auto& [vm, box] : outboxes) {
            wake = box.empty() ? wake : std::min(wake, due(box));
        }
    });
    return wake;
}

void gossip::on(const tick& /*happened*/, core::instant now, effects& out)
{
    broadcast(members_.expire(now), self_);
    update_connections(out);
    exchange_digests(now, out);
    publish_summary(now);
}

void gossip::on(const peer_connected& incoming, core::instant now, effects& out)
{
    const bool same = incoming.domain == domain_;
    if (!same && !is_bridge()) {
        return;
    }
    outbox box(incoming.where, same);
    if (same) {
        box.add(members_.self());
    }
    else {
        box.add(own_summary(now));
    }
    outboxes_.with(incoming.vm,
                   [&](auto& outboxes) { outboxes.insert_or_assign(incoming.vm, std::move(box)); });
    if (same) {
        out.emplace_back(send_digest{incoming.where, digest(true)});
    }
}

void gossip::on(const peer_lost& incoming, core::instant now, effects& out)
{
    const auto where = outboxes_.with(incoming.vm, [&](auto& outboxes) {
        auto box = outboxes.extract(incoming.vm);
        return box.empty() ? core::address{} : box.mapped().to();
    });
    if (!incoming.failed) {
        return;
    }
    if (const auto change = members_.mark_suspect(incoming.vm, now)) {
        broadcast(std::vector{*change}, incoming.vm);
    }
    select_next_bridge(incoming.vm, where);
    update_connections(out);
}

void gossip::on(const peer_unreachable& incoming, core::instant now, effects& out)
{
    const auto members = members_.reachable();
    const auto found = std::ranges::find(members, incoming.where, &member_entry::where);
    if (found != members.end()) {
        on(peer_lost{found->vm}, now, out);
        return;
    }
    select_next_bridge({}, incoming.where);
    update_connections(out);
}

void gossip::on(const delta_received& incoming, core::instant now, effects& out)
{
    // From daemons of other failure domains only summaries are accepted.
    if (same_domain(incoming.from)) {
        const auto& body = incoming.body;
        propagate(members_.merge_entries(body.members, now), body.members, incoming.from);
        const auto changes = endpoints_.merge_entries(body.endpoints, now);
        propagate(changes, body.endpoints, incoming.from);
        expedite_summary(changes, now);
    }
    for (const auto& summary : incoming.body.summaries) {
        merge_summary(summary, incoming.from, now);
    }
    update_connections(out);
}

void gossip::on(const endpoints_changed& incoming, core::instant now, effects& /*out*/)
{
    broadcast(incoming.entries, self_);
    expedite_summary(incoming.entries, now);
}

void gossip::on(const daemons_listed& incoming, core::instant now, effects& out)
{
    std::vector<member_entry> own;
    std::map<core::failure_domain_id, std::vector<member_entry>> foreign;
    for (const auto& daemon : incoming.daemons) {
        auto& group = daemon.domain == domain_ ? own : foreign[daemon.domain];
        group.push_back(daemon);
    }
    broadcast(members_.merge_entries(own, now), self_);
    for (const auto& group : foreign) {
        send_first_summary(group.first, group.second, now, out);
        domains_.with(group.first,
                      [&](auto& domains) { domains[group.first].listed = group.second; });
    }
    update_connections(out);
}

void gossip::on(const capacity_measured& incoming, core::instant /*now*/, effects& /*out*/)
{
    capacities_.store(incoming.capacities);
}

void gossip::on(const drain_started& /*happened*/, core::instant now, effects& /*out*/)
{
    broadcast(std::vector{members_.mark_leaving(now)}, self_);
}

// A change that differs from the entry received, such as a refutation or the merge of two entries,
// is also sent back to the peer.
template <class Entry>
void gossip::propagate(const std::vector<Entry>& changes, const std::vector<Entry>& received,
                       const core::vm_id& from)
{
    broadcast(changes, from);
    std::vector<Entry> amended;
    std::ranges::copy_if(changes, std::back_inserter(amended), [&](const Entry& change) {
        return std::ranges::find(received, change) == received.end();
    });
    enqueue(amended, from);
}

template <class Entry>
void gossip::enqueue(const std::vector<Entry>& entries, const core::vm_id& to)
{
    outboxes_.with(to, [&](auto& outboxes) {
        const auto found = outboxes.find(to);
        if (found != outboxes.end()) {
            std::ranges::for_each(entries, [&](const Entry& entry) { found->second.add(entry); });
        }
    });
}

template void gossip::enqueue(const std::vector<member_entry>&, const core::vm_id&);
template void gossip::enqueue(const std::vector<endpoint_entry>&, const core::vm_id&);
template void gossip::enqueue(const std::vector<domain_summary>&, const core::vm_id&);

template <class Entry>
void gossip::broadcast(const std::vector<Entry>& entries, const core::vm_id& except)
{
    if (entries.empty()) {
        return;
    }
    outboxes_.for_each_shard([&](auto& outboxes) {
        for (auto& [vm, box] : outboxes) {
            if (vm == except || !box.same_domain()) {
                continue;
            }
            std::ranges::for_each(entries, [&](const Entry& entry) { box.add(entry); });
        }
    });
}

template void gossip::broadcast(const std::vector<member_entry>&, const core::vm_id&);
template void gossip::broadcast(const std::vector<endpoint_entry>&, const core::vm_id&);

core::instant gossip::due(const outbox& box) const
{
    return box.last_sent() +
           (box.urgent() ? settings_.message_interval : settings_.summary_message_interval);
}

void gossip::flush(core::instant now, effects& out)
{
    outboxes_.for_each_shard([&](auto& outboxes) {
        for (auto& [vm, box] : outboxes) {
            if (box.empty() || now < due(box)) {
                continue;
            }
            box.mark_sent(now);
            out.emplace_back(send_delta{box.to(), box.take(settings_.max_entries)});
        }
    });
}

void gossip::update_connections(effects& out)
{
    const auto members = members_.reachable();
    const auto chosen = strategy_.choose(self_, domain_members());
    std::set<core::address> wanted;
    for (const auto& member : members) {
        if (std::ranges::find(chosen, member.vm) != chosen.end()) {
            wanted.insert(member.where);
        }
    }
    std::ranges::copy(foreign_bridges(), std::inserter(wanted, wanted.end()));
    if (wanted != *kept_connections_.load()) {
        kept_connections_.store(wanted);
        out.emplace_back(keep_peers{std::move(wanted)});
    }
}

bool gossip::same_domain(const core::vm_id& vm)
{
    return outboxes_.with(vm, [&](const auto& outboxes) {
        const auto found = outboxes.find(vm);
        return found != outboxes.end() && found->second.same_domain();
    });
}

std::vector<core::vm_id> gossip::domain_members()
{
    std::vector<core::vm_id> names;
    std::ranges::transform(members_.reachable(), std::back_inserter(names), &member_entry::vm);
    return names;
}

std::uint64_t gossip::next_random()
{
    const auto schedule = schedule_.update([](gossip_schedule next) {
        ++next.draws;
        return next;
    });
    return XXH3_64bits_withSeed(&schedule->draws, sizeof schedule->draws, seed_);
}

} // namespace ej::membership
