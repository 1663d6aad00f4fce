#include <utility>

#include "asio.h"

#include "gate_waiter.h"

#include <boost/asio/post.hpp>

namespace ej::runtime {

gate_waiter::gate_waiter(asio::any_io_executor strand, bool urgent,
                         std::vector<core::endpoint_id> lost_at, unused_handler unused)
    : strand_(std::move(strand)), timer_(strand_), urgent_(urgent), lost_at_(std::move(lost_at)),
      unused_(std::move(unused))
{
}

// Runs on the strand of `wait`, so that the result is never set between its check for the result
// and the start of its timer.
void gate_waiter::complete(admission_result entry)
{
    asio::post(strand_,
               [self = shared_from_this(), entry = std::move(entry)] { self->accept(entry); });
}

void gate_waiter::accept(const admission_result& entry)
{
    if (!ended_ && !entry_) {
        entry_ = entry;
        timer_.cancel();
        return;
    }
    if (entry.placed) {
        unused_(*entry.placed);
    }
}

asio::awaitable<std::optional<admission_result>>
gate_waiter::wait(asio::steady_timer::time_point until)
{
    if (!entry_) {
        timer_.expires_at(until);
        boost::system::error_code error;
        co_await timer_.async_wait(no_throw(error));
    }
    co_return entry_;
}

} // namespace ej::runtime
