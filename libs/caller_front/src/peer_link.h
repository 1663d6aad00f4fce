#pragma once

#include "evidence_exchange.h"
#include "front_context.h"
#include "net.h"
#include "peer_message.h"

#include <forwarding/leaving_announcements.h>

#include <core/address.h>
#include <core/endpoint.h>
#include <core/endpoint_id.h>
#include <core/failure_domain_id.h>
#include <core/instant.h>

#include <absl/status/status.h>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace ej::front {

/// Exchanges datagrams with the other daemons: load at engines, observed deaths of endpoints and
/// changes read from the store. Changes of the load go to the daemons of this failure domain and of
/// the engine's, to all after a further send or when places are scarce. A lost load report is
/// repaired by the next full report, a lost store update by a query to the store; a lost death
/// report by `evidence_exchange`; parts of prompts that are held back are reported again each
/// second, endpoints that leave a few times. `queue_load_change`, `broadcast`, `broadcast_death`,
/// `broadcast_cleared`, `broadcast_leaving` and `review_parts_later` are thread-safe, the other
/// functions run on the loop.
class peer_link {
public:
    /// Both outlive the link.
    peer_link(front_context& context, asio::io_context& loop);

    /// Binds `where`. Error: Unavailable.
    absl::Status open(const core::address& where);

    /// Starts to send and to receive.
    void start();

    /// Schedules a report that this daemon's load at `endpoint` has changed.
    void queue_load_change(const core::endpoint& endpoint);

    /// Sends changes read from the store to the daemons of this failure domain. On the loop.
    void send_store_update(const store_update& update);

    /// Sends `message` to one daemon. On the loop.
    void send_to(const peer_message& message, const core::address& to);

    /// Sends `message` to all daemons.
    void broadcast(const peer_message& message);

    /// Reviews the evidence against parts of prompts once other daemons have reported theirs.
    void review_parts_later();

    /// Reports the death of an endpoint; `seen` holds information that was new to this daemon.
    void broadcast_death(const suspects::death_record& seen);

    /// Tells the daemons of this failure domain that `run` has said that it leaves.
    void broadcast_leaving(const forwarding::endpoint_run& run);

    /// Reports that a suspect request has completed.
    void broadcast_cleared(const suspects::cleared_request& one);

private:
    using udp = asio::ip::udp;

    void receive();
    void send_changes();
    void send_full_load();
    void apply(const forwarding::load_message& message);
    void apply(const suspects::death_record& seen);
    void apply(const suspects::cleared_request& one);
    void apply(const suspects::part_death& seen);
    void apply(const suspects::held_parts& told);
    void apply(const suspects::cleared_parts& told);
    void apply(const store_update& update);
    void apply(const forwarding::leaving_notice& told);
    void apply(const suspects::evidence_query& query);
    void apply(const suspects::evidence_report& report);
    void apply(const rollout::rollout_report& report);
    void apply(const rollout::rollout_verdict& verdict);
    [[nodiscard]] core::address sender() const;
    void await_review();
    void send_held_parts();
    void send_leaving();
    void send_shares(const std::vector<forwarding::load_share>& shares, bool whole,
                     const std::vector<core::address>& to);
    void send(const peer_message& message, const std::vector<core::address>& to);

    front_context& context_;
    asio::io_context& loop_;
    udp::socket socket_;
    udp::endpoint sender_;
    std::array<std::uint8_t, 65'536> received_{};
    asio::steady_timer batch_timer_;
    asio::steady_timer full_load_timer_;
    asio::steady_timer review_timer_;
    evidence_exchange evidence_;
    core::instant review_due_{};
    bool review_armed_ = false;
    forwarding::leaving_announcements leaving_; // Used on the loop.
    std::uint64_t start_ = 0;
    std::uint64_t number_ = 0;
    std::mutex mutex_;
    // Engines by failure domain. Guarded by mutex_.
    std::map<core::failure_domain_id, std::set<core::endpoint_id>> changes_;
    std::uint64_t further_sends_reported_ = 0; // To all daemons. Used on the loop.
    std::uint64_t full_loads_ = 0;             // Sent. Used on the loop.
};

} // namespace ej::front
