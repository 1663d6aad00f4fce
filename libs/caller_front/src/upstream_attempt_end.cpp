#include "upstream_attempt.h"

#include "clock.h"

#include <core/text.h>

#include <chrono>

namespace ej::front {

namespace {

using forwarding::attempt_end;

// An idle connection is closed this long before the endpoint would close it, so that no request is
// sent on a connection that is being closed. It is kept for `idle_default` if the endpoint
// announces no timeout.
constexpr std::chrono::milliseconds idle_margin{700};
constexpr std::chrono::milliseconds idle_default{2'000};

/// How long the endpoint keeps the connection open while it is idle.
core::duration keep_alive_timeout(std::string_view keep_alive)
{
    for (std::string_view part : core::split(keep_alive, ',')) {
        constexpr std::string_view field = "timeout=";
        part = core::trimmed(part);
        if (!part.starts_with(field)) {
            continue;
        }
        if (const auto seconds = core::parse_number<int>(part.substr(field.size()))) {
            return std::chrono::seconds(*seconds) - idle_margin;
        }
    }
    return idle_default;
}

} // namespace

void upstream_attempt::complete()
{
    over_ = true;
    stop_timers();
    finish_connection();
    if (const auto listener = listener_.lock()) {
        listener->on_complete(*this);
    }
}

bool upstream_attempt::reusable() const
{
    return written_ && parser_->keep_alive() && connection_->buffer.size() == 0 && !unframed_ &&
           answer_is_own() && !surplus_answer_ && connection_->accepts_more();
}

void upstream_attempt::finish_connection()
{
    if (!reusable()) {
        close();
        return;
    }
    connection_->probe(false);
    connection_->usable_until = now() + keep_alive_timeout(parser_->header("Keep-Alive"));
    pool_.keep(endpoint_.where, connection_);
}

void upstream_attempt::end_of_connection(const error_code& error)
{
    // A write that fails takes the error of a reset, and the read then reports an orderly end.
    const bool clean_end = error == asio::error::eof && !write_failed_;
    if (clean_end && head_seen_ && !stale_answer_ && parser_->need_eof()) {
        error_code failure;
        parser_->put_eof(failure);
        if (!failure) {
            unframed_ = true;
            complete();
            return;
        }
    }
    ended(attempt_end::broken,
          head_seen_ ? "connection lost during answer: " + error.message()
                     : "connection lost before a complete answer header: " + error.message());
}

void upstream_attempt::ended(attempt_end end, const std::string& detail)
{
    if (over_) {
        return;
    }
    cancel();
    if (const auto listener = listener_.lock()) {
        listener->on_end(*this, end, detail);
    }
}

void upstream_attempt::cancel()
{
    over_ = true;
    stop_timers();
    close();
}

void upstream_attempt::stop_timers()
{
    for (const auto& timer : {connect_timer_, probe_timer_}) {
        if (timer != nullptr) {
            timer->stop();
        }
    }
}

void upstream_attempt::close()
{
    if (connection_ != nullptr) {
        error_code ignored; // The connection is discarded anyway.
        connection_->socket.close(ignored);
    }
}

} // namespace ej::front
