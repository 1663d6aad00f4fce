#pragma once

#include <peer/call_result.h>
#include <peer/drop_reason.h>
#include <peer/peer_handlers.h>
#include <peer/peer_settings.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace ej::peer {

class peer_loop;

/// A daemon's end of the connections between daemons. One dedicated thread serves all of them; the
/// functions are thread-safe and do not block, except for the constructor and the destructor.
class peer_node {
public:
    /// Listens and starts the thread.
    /// Throws std::runtime_error when the address is taken or the settings are out of range.
    peer_node(peer_settings settings, peer_handlers handlers);
    ~peer_node();

    peer_node(const peer_node&) = delete;
    peer_node& operator=(const peer_node&) = delete;
    peer_node(peer_node&&) = delete;
    peer_node& operator=(peer_node&&) = delete;

    /// Stops the thread; later sends are discarded. Must not be called from the handlers.
    void stop();

    /// The address that peers connect to, with the port that is in use.
    [[nodiscard]] peer_address address() const;

    /// Keeps connections to exactly these peers; all other connections close when idle.
    /// A lost connection is opened again at the next heartbeat.
    void keep_connected(std::set<peer_address> peers);

    /// Sends one message and connects first if needed. The message is lost if the connection is.
    void send(const peer_address& to, std::string payload);

    /// Sends a request and calls `done` once, on the transport's thread.
    void request(const peer_address& to, std::string payload, std::chrono::milliseconds timeout,
                 std::function<void(call_result)> done);

    /// Connections dropped for `reason` so far.
    [[nodiscard]] std::uint64_t dropped(drop_reason reason) const;

    /// Bytes of all frames sent so far.
    [[nodiscard]] std::uint64_t bytes_sent() const;

private:
    std::unique_ptr<peer_loop> loop_;
};

} // namespace ej::peer
