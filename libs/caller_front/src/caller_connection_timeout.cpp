#include "caller_connection.h"
#include "clock.h"

#include "local_reply.h"

#include <utility>

namespace ej::front {

namespace {

// Checks for progress of the output within the write timeout.
constexpr int progress_checks = 5;

// Callers may rely on a connection for longer than the limit, by their clock or by another limit
// that they know. Closing it at the limit would cross their requests.
constexpr int limits_until_close = 2;

} // namespace

void caller_connection::timed_out()
{
    if (output_.busy() && phase_ != phase::closed) {
        check_progress();
        return;
    }
    switch (phase_) {
    case phase::idle:
        idle_limit_passed();
        break;
    case phase::lingering:
        close();
        break;
    case phase::aborting:
        reset_when_received();
        break;
    case phase::reading:
        send_rejection(status_request_timeout, "request_timeout");
        break;
    case phase::answering:
    case phase::closed:
        break;
    }
}

/// Disconnects a caller that has not read a part of its answer within the write timeout. Bytes that
/// its machine has acknowledged count: the socket takes more only after many of them.
void caller_connection::check_progress()
{
    const auto acknowledged = output_.acknowledged();
    if (acknowledged > std::exchange(acknowledged_, acknowledged)) {
        progress_at_ = now();
    }
    if (now() >= progress_at_ + context_.settings.write_timeout) {
        disconnect(connection_end::write_timeout);
        return;
    }
    timer_->set(next_progress_check());
}

/// The time that was allowed when the connection became idle has passed. A caller may rely on a
/// limit that was raised since; a lowered one applies to later waits.
void caller_connection::idle_limit_passed()
{
    const auto end = idle_since_ + longest_idle();
    if (now() < end) {
        timer_->set(end);
        return;
    }
    stop_waiting(connection_end::idle_timeout);
}

/// How long the connection stays open without a request.
core::duration caller_connection::longest_idle() const
{
    return limits_until_close * limits().idle_timeout;
}

core::instant caller_connection::next_progress_check() const
{
    return now() + context_.settings.write_timeout / progress_checks;
}

} // namespace ej::front
