#include "caller_connection.h"
#include "clock.h"

#include "connection_log.h"

#include <chrono>
#include <utility>

namespace ej::front {

namespace {

// Limit for reading and discarding input after the last answer, so that the caller can read that
// answer.
constexpr std::chrono::seconds linger_timeout{3};

} // namespace

/// Closes the sending half and keeps reading for a while: closing a socket with unread bytes resets
/// the connection, and the caller might lose the answer.
void caller_connection::linger()
{
    phase_ = phase::lingering;
    error_code ignored; // The caller may have closed already.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_->set(now() + linger_timeout);
    reader_.buffer().consume(reader_.buffer().size());
    read();
}

void caller_connection::disconnect(connection_end why)
{
    const auto call = std::exchange(call_, nullptr);
    end(why);
    if (call != nullptr) {
        call->caller_gone();
    }
}

void caller_connection::end_call()
{
    if (const auto call = call_) {
        call->end_now("leaving");
    }
}

void caller_connection::close_if_idle()
{
    if (phase_ == phase::idle) {
        end(connection_end::leaving);
    }
}

void caller_connection::end(connection_end why)
{
    // The end of a lingering or closed connection has been recorded already.
    if (phase_ != phase::lingering && phase_ != phase::closed) {
        record_end(why);
    }
    close();
}

void caller_connection::record_end(connection_end why)
{
    error_code failed; // A socket that failed has no unread bytes.
    const auto unread = socket_.available(failed);
    const connection_summary ended{phase_, request_id_, answered_, reader_.buffer().size(),
                                   failed ? 0 : unread};
    context_.metrics.count(
        "caller_connections_ended_total",
        {{"end", std::string(to_string(why))}, {"outstanding", outstanding(ended) ? "yes" : "no"}});
    log_connection_end(why, ended);
}

void caller_connection::close()
{
    phase_ = phase::closed;
    timer_->stop();
    error_code ignored; // The connection is discarded anyway.
    socket_.close(ignored);
}

} // namespace ej::front
