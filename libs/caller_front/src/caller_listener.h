#pragma once

#include "lane.h"
#include "net.h"

#include <core/address.h>

#include <absl/status/status.h>

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

    /// Stops accepting; called from any thread.
    void stop();

    /// The bound address.
    [[nodiscard]] core::address local() const { return local_; }

private:
    void accept();

    std::vector<std::unique_ptr<lane>>& lanes_;
    tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    core::address local_;
    std::size_t next_lane_ = 0;
};

} // namespace ej::front
