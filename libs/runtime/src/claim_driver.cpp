#include "asio.h"

#include "claim_driver.h"

#include <http/pause_for.h>

#include <array>
#include <chrono>
#include <utility>

namespace ej::runtime {

namespace {

actions::wall_time wall_now()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

core::instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

claim_driver::claim_driver(boost::asio::any_io_executor executor,
                           std::shared_ptr<claim_store> store, const actions::claim_limits& limits)
    : executor_(std::move(executor)), store_(std::move(store)), batcher_(limits)
{
}

void claim_driver::bind(const actions::claim& wanted)
{
    actions::bucket_writer_event event;
    event.kind = actions::bucket_writer_event_kind::claim_wanted;
    event.wanted = wanted;
    apply(batcher_.bucket_of(wanted.action), std::move(event));
}

void claim_driver::apply(bucket_number bucket, actions::bucket_writer_event event)
{
    static constexpr std::array<handler, 4> handlers{&claim_driver::schedule, &claim_driver::read,
                                                     &claim_driver::write, &claim_driver::settle};
    event.at = wall_now();
    event.now = now();
    for (const actions::bucket_writer_effect& effect : batcher_.apply(bucket, event)) {
        (this->*handlers.at(static_cast<std::size_t>(effect.kind)))(bucket, effect);
    }
}

void claim_driver::schedule(bucket_number bucket, const actions::bucket_writer_effect& effect)
{
    const auto wait_for_turn = [](std::shared_ptr<claim_driver> self, bucket_number due,
                                  core::duration wait) -> asio::awaitable<void> {
        co_await http::pause_for(wait);
        actions::bucket_writer_event event;
        event.kind = actions::bucket_writer_event_kind::call_due;
        self->apply(due, std::move(event));
    };
    asio::co_spawn(executor_, wait_for_turn(shared_from_this(), bucket, effect.not_before - now()),
                   asio::detached);
}

void claim_driver::read(bucket_number bucket, const actions::bucket_writer_effect& /*effect*/)
{
    const auto call = [](std::shared_ptr<claim_driver> self,
                         bucket_number wanted) -> asio::awaitable<void> {
        auto event = co_await self->store_->read(wanted);
        self->apply(wanted, std::move(event));
    };
    asio::co_spawn(executor_, call(shared_from_this(), bucket), asio::detached);
}

void claim_driver::write(bucket_number bucket, const actions::bucket_writer_effect& effect)
{
    const auto call = [](std::shared_ptr<claim_driver> self, bucket_number wanted,
                         actions::claim_bucket value,
                         core::revision expected) -> asio::awaitable<void> {
        auto event = co_await self->store_->write(wanted, std::move(value), expected);
        self->apply(wanted, std::move(event));
    };
    asio::co_spawn(executor_, call(shared_from_this(), bucket, effect.bucket, effect.revision),
                   asio::detached);
}

void claim_driver::settle(bucket_number /*bucket*/, const actions::bucket_writer_effect& effect)
{
    on_verdict_(effect.verdict);
}

} // namespace ej::runtime
