#pragma once

#include "asio_settings.h"
#include "peer_session.h"

#include <peer/call_result.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace ej::peer {

/// A request that was sent and has no answer yet.
struct pending_call {
    std::function<void(call_result)> done;
    std::unique_ptr<boost::asio::steady_timer> deadline;
    peer_session::ptr session;
};

} // namespace ej::peer
