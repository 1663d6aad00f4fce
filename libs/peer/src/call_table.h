#pragma once

#include "asio_settings.h"
#include "pending_call.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace ej::peer {

/// The requests sent to peers that have no answer yet. Used on the transport's thread only.
class call_table {
public:
    explicit call_table(boost::asio::io_context& context) : context_(context) {}

    /// Registers a request sent over `session` and returns its number, which counts from 1.
    std::uint64_t add(const peer_session::ptr& session, std::chrono::milliseconds timeout,
                      std::function<void(call_result)> done);

    /// Completes a request with its answer if it is pending and was sent over `session`.
    void answer(const peer_session::ptr& session, std::uint64_t number, std::string payload);

    /// Fails all requests of `session`: `lost` if it was authenticated, else `unreachable`.
    void fail_all(const peer_session::ptr& session);

private:
    void finish(std::uint64_t number, call_result result);

    boost::asio::io_context& context_;
    std::map<std::uint64_t, pending_call> calls_;
    std::uint64_t last_number_ = 0;
};

} // namespace ej::peer
