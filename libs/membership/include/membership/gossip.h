#pragma once

#include <membership/domain_record.h>
#include <membership/effect.h>
#include <membership/endpoint_directory.h>
#include <membership/event.h>
#include <membership/gossip_schedule.h>
#include <membership/gossip_settings.h>
#include <membership/member_directory.h>
#include <membership/outbox.h>
#include <membership/peer_strategy.h>

#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>
#include <core/failure_domain_id.h>
#include <core/instant.h>
#include <core/vm_id.h>

#include <cstdint>
#include <set>
#include <vector>

namespace ej::membership {

/// Gossip protocol that replicates the state of daemons and endpoints among daemons. Thread-safe.
///
/// Within a failure domain, changes are sent to all connected peers, which forward those that were
/// new to them; digests detect lost changes. Between failure domains, a few daemons (bridges)
/// exchange only summaries.
class gossip {
public:
    /// `members`, `endpoints` and `strategy` outlive the gossip. `seed` is for random choices of
    /// peers.
    gossip(member_directory& members, endpoint_directory& endpoints, const peer_strategy& strategy,
           gossip_settings settings, std::uint64_t seed);

    /// Handles one event and returns the actions to carry out, in order.
    effects handle(const event& incoming, core::instant now);

    /// The latest time for the next tick.
    [[nodiscard]] core::instant next_wake();

    /// True when this daemon exchanges summaries with other failure domains.
    [[nodiscard]] bool is_bridge();

    /// Summaries of other failure domains that changed recently, sorted.
    [[nodiscard]] std::vector<domain_summary> summaries(core::instant now);

private:
    void on(const tick& incoming, core::instant now, effects& out);
    void on(const peer_connected& incoming, core::instant now, effects& out);
    void on(const peer_lost& incoming, core::instant now, effects& out);
    void on(const peer_unreachable& incoming, core::instant now, effects& out);
    void on(const delta_received& incoming, core::instant now, effects& out);
    void on(const digest_received& incoming, core::instant now, effects& out);
    void on(const endpoints_changed& incoming, core::instant now, effects& out);
    void on(const daemons_listed& incoming, core::instant now, effects& out);
    void on(const capacity_measured& incoming, core::instant now, effects& out);
    void on(const drain_started& incoming, core::instant now, effects& out);

    template <class Entry>
    void broadcast(const std::vector<Entry>& entries, const core::vm_id& except);
    template <class Entry>
    void enqueue(const std::vector<Entry>& entries, const core::vm_id& to);
    template <class Entry>
    void propagate(const std::vector<Entry>& changes, const std::vector<Entry>& received,
                   const core::vm_id& from);
    void expedite_summary(const std::vector<endpoint_entry>& changes, core::instant now);
    void probe_dead(effects& out);
    void forward_summary(const domain_summary& summary, const core::vm_id& except);
    [[nodiscard]] core::instant due(const outbox& box) const;
    void flush(core::instant now, effects& out);
    void update_connections(effects& out);
    void exchange_digests(core::instant now, effects& out);
    void publish_summary(core::instant now);
    void merge_summary(const domain_summary& received, const core::vm_id& from, core::instant now);
    void send_first_summary(const core::failure_domain_id& domain,
                            const std::vector<member_entry>& listed, core::instant now,
                            effects& out);
    void select_next_bridge(const core::vm_id& vm, const core::address& where);

    [[nodiscard]] bool same_domain(const core::vm_id& vm);
    [[nodiscard]] std::vector<core::vm_id> domain_members();
    [[nodiscard]] std::vector<core::vm_id> own_bridges();
    [[nodiscard]] std::vector<core::address> foreign_bridges();
    [[nodiscard]] domain_summary own_summary(core::instant now);
    [[nodiscard]] std::vector<leaving_endpoint> own_leaving_endpoints(std::uint64_t rotation);
    [[nodiscard]] digest_table digest(bool answer_wanted);
    [[nodiscard]] core::duration summary_interval();
    [[nodiscard]] std::uint64_t next_random();

    concurrency::sharded<core::failure_domain_id, domain_record> domains_;
    concurrency::sharded<core::vm_id, outbox> outboxes_;
    member_directory& members_;
    endpoint_directory& endpoints_;
    const peer_strategy& strategy_;
    const gossip_settings settings_;
    const std::uint64_t seed_;
    const core::vm_id self_;
    const core::failure_domain_id domain_;
    concurrency::snapshot<std::set<core::address>> kept_connections_;
    concurrency::snapshot<std::vector<service_capacity>> capacities_;
    concurrency::snapshot<gossip_schedule> schedule_;
};

} // namespace ej::membership
