#pragma once

#include "lane.h"
#include "net.h"

#include <core/address.h>
#include <core/instant.h>

#include <absl/status/status.h>

#include <future>
#include <memory>
#include <vector>

namespace ej::front {

/// Accepts callers' connections and assigns them to the lanes round-robin.
class caller_listener {
public:
    /// `lanes` outlive the listener; the first one accepts.
    explicit caller_listener(std::vector<std::unique_ptr<lane>>& lanes);

    /// Binds `where`. Error: Unavailable when that fails.
    absl::Status open(const core::address& where);

    /// Starts to accept.
    void start();

    /// Stops accepting and waits until the lanes have every accepted connection, at most until
    /// `latest`. Called from any other thread than the first lane's, after `start`.
    void stop(core::instant latest);

    /// The bound address.
    [[nodiscard]] core::address local() const { return local_; }

private:
    void accept();
    void accepted(lane& next, const error_code& error, tcp::socket socket);
    void accept_later();

    std::vector<std::unique_ptr<lane>>& lanes_;
    tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    core::address local_;
    std::size_t next_lane_ = 0;
    std::promise<void> ended_; // Set when nothing is accepted any more.
    std::shared_future<void> end_{ended_.get_future()};
};

} // namespace ej::front
