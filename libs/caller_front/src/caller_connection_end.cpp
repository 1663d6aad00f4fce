#include "caller_connection.h"
#include "clock.h"

#include "connection_log.h"

#include <chrono>
#include <utility>

namespace ej::front {

namespace {

// Time for the caller to read its last answer and to close the connection.
constexpr std::chrono::seconds linger_timeout{3};
constexpr std::chrono::milliseconds acknowledgement_interval{10};

} // namespace

/// Ends the wait for a request. The read is cancelled rather than the connection closed, since it
/// may have taken a request whose turn on the lane has not come yet.
void caller_connection::stop_waiting(connection_end why)
{
    end_of_wait_ = why;
    error_code ignored; // The read ends anyway if the socket has failed.
    socket_.cancel(ignored);
}

void caller_connection::wait_stopped()
{
    error_code failed; // Shows again in the read.
    if (socket_.available(failed) > 0 || failed) {
        read();
        return;
    }
    half_close();
}

/// Closes the sending half and leaves unread what crosses the close: the caller may send that
/// again.
void caller_connection::half_close()
{
    record_end(end_of_wait_);
    begin_linger();
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                           error_code failed;
                           const bool unread = !error && self->socket_.available(failed) > 0;
                           if (self->phase_ == phase::closed) {
                               return;
                           }
                           if (unread) {
                               // Closing beside unread bytes resets the connection, and the caller
                               // might lose its last answer.
                               self->record_crossing();
                               self->stay_open();
                               return;
                           }
                           self->close();
                       });
}

/// Records that a request crossed the close of the connection: it stays unread, and its caller gets
/// no answer.
void caller_connection::record_crossing()
{
    context_.metrics.count("caller_requests_crossed_total",
                           {{"end", std::string(to_string(end_of_wait_))}});
    log_crossing(end_of_wait_, now() - idle_since_, limits().idle_timeout);
}

/// Owns the connection while it does not read; without a pending operation it would be destroyed.
void caller_connection::stay_open()
{
    if (std::exchange(awaiting_failure_, true)) {
        return;
    }
    socket_.async_wait(tcp::socket::wait_error,
                       [self = shared_from_this()](const error_code& error) {
                           if (!error && self->phase_ != phase::closed) {
                               self->disconnect(connection_end::read_failed);
                           }
                       });
}

/// False once the last calls of a leaving daemon have ended.
bool caller_connection::accepts_requests() const
{
    if (!context_.leaving) {
        return true;
    }
    const auto schedule = *context_.schedule.load();
    return !schedule || now() < schedule->end;
}

void caller_connection::stop_serving()
{
    if (std::exchange(serving_, false)) {
        --context_.callers_active;
    }
}

void caller_connection::begin_linger()
{
    phase_ = phase::lingering;
    stop_serving();
    error_code ignored; // The caller may have closed already.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_->set(now() + linger_timeout);
    report_holding();
}

/// Closes the sending half and keeps reading for a while: closing a socket with unread bytes resets
/// the connection, and the caller might lose the answer.
void caller_connection::linger()
{
    begin_linger();
    reader_.buffer().consume(reader_.buffer().size());
    read();
}

/// Ends a connection whose answer was broken off, behind what was sent of it. Without its last
/// chunk an answer is seen to be incomplete, so an orderly close does; else only a reset shows it.
void caller_connection::end_aborted()
{
    if (!unframed_) {
        linger();
        return;
    }
    reset_by_ = now() + linger_timeout;
    reset_when_received();
}

/// Resets the connection, which discards what is still on its way, once the caller has received
/// everything.
void caller_connection::reset_when_received()
{
    if (output_.unacknowledged() > 0 && now() < reset_by_) {
        timer_->set(now() + acknowledgement_interval);
        return;
    }
    close();
}

/// A connection that ends early, also with the process, is reset.
void caller_connection::reset_on_close(bool enabled)
{
    if (unframed_) {
        error_code ignored; // A socket that failed sends nothing more.
        socket_.set_option(tcp::socket::linger(enabled, 0), ignored);
    }
}

void caller_connection::disconnect(connection_end why)
{
    const auto call = std::exchange(call_, nullptr);
    end(why);
    if (call != nullptr) {
        call->caller_gone();
    }
}

void caller_connection::review_call()
{
    if (const auto call = call_) {
        call->review();
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
        stop_waiting(connection_end::leaving);
    }
}

void caller_connection::end(connection_end why)
{
    // The end of other connections has been recorded already.
    if (phase_ == phase::idle || phase_ == phase::reading || phase_ == phase::answering) {
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
    stop_serving();
    callers_->remove(number_);
    timer_->stop();
    error_code ignored; // The connection is discarded anyway.
    socket_.close(ignored);
}

} // namespace ej::front
