#include "caller_connection.h"
#include "clock.h"

#include "local_reply.h"

#include <chrono>

namespace ej::front {

namespace {

// The connection itself, its timer and its entries in tables.
constexpr std::size_t connection_bytes = 4'096;

// Unfinished requests end within their timeouts, so that there is room again soon.
constexpr std::chrono::seconds overload_return_delay{1};

} // namespace

pressure::holding caller_connection::holding() const
{
    using pressure::close_order;
    const auto bytes = connection_bytes + reader_.allocated() + call_bytes_ + output_.unsent();
    switch (phase_) {
    case phase::idle:
        return {bytes, idle_since_, close_order::waiting};
    case phase::reading:
        return {bytes, reading_since_, close_order::waiting};
    case phase::answering:
        // A stream's output counts as unread only beyond what is usually under way.
        return {bytes, progress_at_,
                output_.unsent() > byte_share::free_bytes ? close_order::waiting
                                                          : close_order::never};
    case phase::aborting:
    case phase::lingering:
    case phase::closed:
        break;
    }
    return {bytes, idle_since_, close_order::finished};
}

void caller_connection::report_holding()
{
    if (phase_ != phase::closed) {
        callers_->update(number_, holding());
    }
}

void caller_connection::close_surplus()
{
    error_code failed; // A socket that failed has no unread bytes.
    if (phase_ == phase::idle && socket_.available(failed) > 0 && !failed) {
        // A request has just arrived.
        idle_since_ = now();
        report_holding();
    }
    else if (phase_ == phase::answering) {
        disconnect(connection_end::output_limit);
    }
    else if (phase_ != phase::closed) {
        end(connection_end::overload);
    }
}

void caller_connection::free_memory()
{
    if (phase_ == phase::reading) {
        reject_with(local_refusal("overload", "", context_.headers, overload_return_delay),
                    "overload");
    }
    else {
        close_surplus();
    }
}

} // namespace ej::front
