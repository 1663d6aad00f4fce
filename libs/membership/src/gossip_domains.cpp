#include <membership/gossip.h>

#include <membership/merge.h>
#include <membership/rendezvous.h>

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace ej::membership {

namespace {

// A domain whose summary was not renewed for this many intervals counts as unreachable.
constexpr int stale_summary_intervals = 4;

std::vector<member_entry> bridges_among(const core::failure_domain_id& domain,
                                        const std::vector<member_entry>& members, std::size_t count)
{
    std::vector<core::vm_id> names;
    std::ranges::transform(members, std::back_inserter(names), &member_entry::vm);
    const auto chosen = choose_by_rendezvous(domain.text(), names, count);
    std::vector<member_entry> bridges;
    std::ranges::copy_if(members, std::back_inserter(bridges), [&](const member_entry& member) {
        return std::ranges::find(chosen, member.vm) != chosen.end();
    });
    return bridges;
}

} // namespace

std::vector<core::vm_id> gossip::own_bridges()
{
    return choose_by_rendezvous(domain_.text(), domain_members(), settings_.bridges);
}

bool gossip::is_bridge()
{
    const auto bridges = own_bridges();
    return std::ranges::find(bridges, self_) != bridges.end();
}

std::vector<core::address> gossip::foreign_bridges()
{
    std::vector<core::address> addresses;
    if (!is_bridge()) {
        return addresses;
    }
    const auto offset = XXH3_64bits(self_.text().data(), self_.text().size());
    domains_.for_each_shard([&](const auto& domains) {
        for (const auto& [domain, record] : domains) {
            // Only one domain of each pair opens the connection; summaries go both ways.
            if (domain <= domain_) {
                continue;
            }
            const bool named = record.summary && !record.summary->bridges.empty();
            const auto candidates = named ? record.summary->bridges
                                          : bridges_among(domain, record.listed, settings_.bridges);
            if (!candidates.empty()) {
                addresses.push_back(
                    candidates[(offset + record.connection_losses) % candidates.size()].where);
            }
        }
    });
    return addresses;
}

void gossip::select_next_bridge(const core::vm_id& vm, const core::address& where)
{
    const auto is_lost = [&](const member_entry& bridge) {
        return bridge.where == where || bridge.vm == vm;
    };
    domains_.for_each_shard([&](auto& domains) {
        for (auto& [domain, record] : domains) {
            const bool named =
                record.summary && std::ranges::any_of(record.summary->bridges, is_lost);
            if (named || std::ranges::any_of(record.listed, is_lost)) {
                ++record.connection_losses;
            }
        }
    });
}

// Only one domain of a pair opens the connection. If that is the other domain and its list does not
// have this one yet, no summaries would be exchanged until it reads a newer list. This first
// summary avoids the delay.
void gossip::send_first_summary(const core::failure_domain_id& domain,
                                const std::vector<member_entry>& listed, core::instant now,
                                effects& out)
{
    const bool known = domains_.with(domain, [&](const auto& domains) {
        const auto found = domains.find(domain);
        return found != domains.end() && (found->second.summary || !found->second.listed.empty());
    });
    if (known || !is_bridge()) {
        return;
    }
    for (const auto& bridge : bridges_among(domain, listed, settings_.bridges)) {
        out.emplace_back(send_delta{bridge.where, {{}, {}, {own_summary(now)}}});
    }
}

core::duration gossip::summary_interval()
{
    const auto domains = static_cast<std::int64_t>(domains_.size());
    return std::max(settings_.min_summary_interval,
                    settings_.summary_interval_per_domain * domains);
}

void gossip::publish_summary(core::instant now)
{
    if (now < schedule_.load()->next_summary) {
        return;
    }
    schedule_.update([&](gossip_schedule next) {
        next.next_summary = now + summary_interval();
        next.last_summary = now;
        return next;
    });
    if (!is_bridge()) {
        return;
    }
    const auto summary = own_summary(now);
    outboxes_.for_each_shard([&](auto& outboxes) {
        for (auto& [vm, box] : outboxes) {
            if (!box.same_domain()) {
                box.add(summary);
            }
        }
    });
    forward_summary(summary, self_);
}

void gossip::expedite_summary(const std::vector<endpoint_entry>& changes, core::instant now)
{
    const bool has_leaving = std::ranges::any_of(changes, [&](const endpoint_entry& entry) {
        return entry.leaving && entry.endpoint.domain == domain_;
    });
    if (!has_leaving) {
        return;
    }
    schedule_.update([&](gossip_schedule next) {
        const auto earliest = std::max(now, next.last_summary + settings_.leaving_summary_interval);
        next.next_summary = std::min(next.next_summary, earliest);
        return next;
    });
    publish_summary(now);
}

domain_summary gossip::own_summary(core::instant now)
{
    const auto bridges = bridges_among(domain_, members_.reachable(), settings_.bridges);
    const auto version = domains_.with(domain_, [&](const auto& domains) {
        const auto found = domains.find(domain_);
        const bool known = found != domains.end() && found->second.summary;
        return known ? found->second.summary->version.next() : summary_version(1);
    });
    domain_summary summary{domain_,
                           version,
                           self_,
                           bridges,
                           *capacities_.load(),
                           own_leaving_endpoints(version.value())};
    domains_.with(domain_, [&](auto& domains) {
        auto& record = domains[domain_];
        record.summary = record.summary ? merge(*record.summary, summary) : summary;
        record.updated_at = now;
    });
    return summary;
}

std::vector<leaving_endpoint> gossip::own_leaving_endpoints(std::uint64_t rotation)
{
    std::vector<leaving_endpoint> leaving;
    for (const auto& entry : endpoints_.present()) {
        if (entry.leaving && entry.endpoint.domain == domain_) {
            leaving.push_back({entry.endpoint.name, entry.endpoint.incarnation});
        }
    }
    // If one summary cannot hold all of them, successive summaries list different ones.
    if (leaving.size() > max_summary_leaving) {
        const auto first = rotation * max_summary_leaving % leaving.size();
        std::ranges::rotate(leaving, leaving.begin() + static_cast<std::ptrdiff_t>(first));
        leaving.resize(max_summary_leaving);
    }
    return leaving;
}

void gossip::merge_summary(const domain_summary& received, const core::vm_id& from,
                           core::instant now)
{
    const bool changed = domains_.with(received.domain, [&](auto& domains) {
        auto& record = domains[received.domain];
        const auto merged = record.summary ? merge(*record.summary, received) : received;
        if (record.summary == merged) {
            return false;
        }
        record.summary = merged;
        record.updated_at = now;
        return true;
    });
    if (!changed) {
        return;
    }
    broadcast(endpoints_.mark_leaving(received.leaving, now), self_);
    forward_summary(received, from);
}

void gossip::forward_summary(const domain_summary& summary, const core::vm_id& except)
{
    std::vector<core::vm_id> peers;
    outboxes_.for_each_shard([&](const auto& outboxes) {
        for (const auto& [vm, box] : outboxes) {
            if (vm != except && box.same_domain()) {
                peers.push_back(vm);
            }
        }
    });
    std::ranges::sort(peers);
    // The same peers are chosen for a while, so that several summaries share a message.
    const auto window = schedule_.load()->draws;
    const auto key = std::to_string(seed_) + '/' + std::to_string(window);
    for (const auto& vm : choose_by_rendezvous(key, peers, settings_.summary_fanout)) {
        enqueue(std::vector{summary}, vm);
    }
}

std::vector<domain_summary> gossip::summaries(core::instant now)
{
    const auto max_age = summary_interval() * stale_summary_intervals;
    std::vector<domain_summary> fresh;
    domains_.for_each_shard([&](const auto& domains) {
        for (const auto& [domain, record] : domains) {
            if (domain != domain_ && record.summary && now - record.updated_at <= max_age) {
                fresh.push_back(*record.summary);
            }
        }
    });
    std::ranges::sort(fresh);
    return fresh;
}

} // namespace ej::membership
