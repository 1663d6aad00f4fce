#include "caller_listener.h"

#include <logging/log.h>

#include <chrono>
#include <utility>

namespace ej::front {

namespace {

// Pause after a failed accept: the usual cause is a lack of file descriptors, some of which are
// freed in the meantime.
constexpr std::chrono::milliseconds accept_pause{50};

// Limit for received bytes of one caller that have not been read. The kernel would let it grow to
// several MB, and these count as memory of the VM.
constexpr int receive_buffer_bytes = 65'536;

} // namespace

caller_listener::caller_listener(std::vector<std::unique_ptr<lane>>& lanes)
    : lanes_(lanes), acceptor_(lanes.front()->loop()), pause_(lanes.front()->loop())
{
}

absl::Status caller_listener::open(const core::address& where)
{
    error_code error;
    const auto number = asio::ip::make_address(where.host, error);
    const tcp::endpoint endpoint(number, where.port);
    if (!error) {
        acceptor_.open(endpoint.protocol(), error);
    }
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        // Accepted sockets inherit it.
        acceptor_.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return absl::UnavailableError("listen on " + core::to_string(where) + ": " +
                                      error.message());
    }
    local_ = {where.host, acceptor_.local_endpoint(error).port()};
    return absl::OkStatus();
}

void caller_listener::start()
{
    asio::post(lanes_.front()->loop(), [this] { accept(); });
}

void caller_listener::stop(core::instant latest)
{
    asio::post(lanes_.front()->loop(), [this] {
        error_code ignored; // The process is about to end.
        acceptor_.close(ignored);
        pause_.cancel();
    });
    end_.wait_until(latest);
}

void caller_listener::accept()
{
    if (!acceptor_.is_open()) {
        ended_.set_value();
        return;
    }
    lane& next = *lanes_[next_lane_++ % lanes_.size()];
    acceptor_.async_accept(next.loop(), [this, &next](const error_code& error, tcp::socket socket) {
        accepted(next, error, std::move(socket));
    });
}

void caller_listener::accepted(lane& next, const error_code& error, tcp::socket socket)
{
    if (!error) {
        next.serve(std::move(socket));
        accept();
        return;
    }
    if (acceptor_.is_open()) {
        logging::log(logging::level::warn, "accept failed", {{"error", error.message()}});
        accept_later();
        return;
    }
    accept();
}

void caller_listener::accept_later()
{
    pause_.expires_after(accept_pause);
    pause_.async_wait([this](const error_code&) { accept(); });
}

} // namespace ej::front
