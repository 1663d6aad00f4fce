#pragma once

#include "front_context.h"
#include "net.h"
#include "peer_message.h"

#include <core/address.h>
#include <core/endpoint_id.h>

#include <absl/status/status.h>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <mutex>
#include <set>
#include <vector>

namespace ej::front {

/// Exchanges datagrams with the other daemons: load at engines, observed deaths of endpoints and
/// changes read from the store. A lost load report is repaired by the next full report, a lost
/// store update by a query to the store; a lost death report only weakens a suspicion.
/// `queue_load_change`, `broadcast_death` and `broadcast_cleared` are thread-safe, the other
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
    void queue_load_change(const core::endpoint_id& endpoint);

    /// Sends changes read from the store to the daemons of this failure domain. On the loop.
    void send_store_update(const store_update& update);

    /// Reports the death of an endpoint; `seen` holds information that was new to this daemon.
    void broadcast_death(const suspects::death_record& seen);

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
    void apply(const store_update& update);
    void send_shares(std::vector<forwarding::load_share> shares, bool whole);
    void send(const peer_message& message, const std::vector<core::address>& to);

    front_context& context_;
    asio::io_context& loop_;
    udp::socket socket_;
    udp::endpoint sender_;
    std::array<std::uint8_t, 65'536> received_{};
    asio::steady_timer batch_timer_;
    asio::steady_timer full_load_timer_;
    std::uint64_t start_ = 0;
    std::uint64_t number_ = 0;
    std::mutex mutex_;
    std::set<core::endpoint_id> changes_; // Guarded by mutex_.
};

} // namespace ej::front
