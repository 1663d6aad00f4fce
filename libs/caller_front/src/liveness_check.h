#pragma once

#include "lazy_timer.h"
#include "net.h"
#include "upstream_connection.h"
#include "upstream_pool.h"

#include <core/address.h>
#include <core/instant.h>

#include <functional>
#include <memory>

namespace ej::front {

/// Checks by a new connection whether an endpoint that stopped sending is reachable. The connection
/// is kept for later requests. An endpoint that resets the connection is reachable too: it may have
/// as many as it accepts. Used on one lane.
class liveness_check : public std::enable_shared_from_this<liveness_check> {
public:
    using result_callback = std::function<void(bool alive)>;

    /// `pool` outlives the check.
    liveness_check(upstream_pool& pool, core::address where, result_callback on_result);

    /// Connects; calls `on_result` within `timeout` unless the check is cancelled.
    void start(core::duration timeout);

    void cancel();

private:
    void connect();
    void connected(const error_code& error);
    void end(bool alive);

    upstream_pool& pool_;
    core::address where_;
    result_callback on_result_;
    upstream_connection_ptr connection_;
    std::shared_ptr<lazy_timer> timer_;
    bool was_reset_ = false; // The endpoint has reset a connection of this check.
};

} // namespace ej::front
