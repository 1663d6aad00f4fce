#include "asio.h"

#include "outcome_slot.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace ej::runtime {

asio::awaitable<std::shared_ptr<outcome_slot>> outcome_slot::on_this_strand()
{
    const auto strand = co_await asio::this_coro::executor;
    co_return std::make_shared<outcome_slot>(strand);
}

void outcome_slot::complete(std::shared_ptr<outcome_slot> slot, actions::action_outcome outcome)
{
    auto strand = slot->strand_;
    asio::post(strand, [slot = std::move(slot), outcome = std::move(outcome)]() mutable {
        slot->received_outcome_ = std::move(outcome);
        slot->timer_.cancel();
    });
}

asio::awaitable<void> outcome_slot::wait_until(core::instant deadline)
{
    timer_.expires_at(deadline);
    if (!received_outcome_) {
        boost::system::error_code error;
        co_await timer_.async_wait(no_throw(error));
    }
}

} // namespace ej::runtime
