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

/// Tells the other daemons this one's load at engines, the deaths of endpoints that it saw and what
/// it read from the store, and hears theirs, by datagrams. A lost load is made good by the next
/// regular message, lost news by a question to the store; a lost death only weakens a suspicion.
/// `queue_load_change`, `broadcast_death` and `broadcast_cleared` are thread-safe, the rest runs on
/// the loop.
class peer_link {
public:
    /// Both outlive the link.
    peer_link(front_context& context, asio::io_context& loop);

    /// Binds `where`. Error: Unavailable.
    absl::Status open(const core::address& where);

    /// Begins to send and to receive.
    void start();

    /// This daemon's load at `endpoint` is another one.
    void queue_load_change(const core::endpoint_id& endpoint);

    /// Tells the daemons of this failure domain what was read from the store. On the loop.
    void send_store_update(const store_update& update);

    /// An endpoint died; `seen` says more than was known here.
    void broadcast_death(const suspects::death_record& seen);

    /// A suspect has finished.
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
    std::set<core::endpoint_id> changes_; // Under mutex_.
};

} // namespace ej::front
