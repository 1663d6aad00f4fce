#include "liveness_check.h"

#include "clock.h"

#include <chrono>
#include <utility>

namespace ej::front {

namespace {

// Kept only briefly, since an endpoint may close a connection that never carried a request early.
constexpr std::chrono::milliseconds unused_for{1'000};

} // namespace

liveness_check::liveness_check(upstream_pool& pool, core::address where, result_callback on_result)
    : pool_(pool), where_(std::move(where)), on_result_(std::move(on_result)),
      connection_(std::make_shared<upstream_connection>(pool.lane()))
{
}

void liveness_check::start(core::duration timeout)
{
    error_code error;
    const auto number = asio::ip::make_address(where_.host, error);
    if (error) {
        end(false);
        return;
    }
    timer_ = std::make_shared<lazy_timer>(pool_.lane(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->end(false);
        }
    });
    timer_->set(now() + timeout);
    connection_->socket.async_connect(
        tcp::endpoint(number, where_.port),
        [self = shared_from_this()](const error_code& failure) { self->end(!failure); });
}

void liveness_check::end(bool alive)
{
    const auto on_result = std::exchange(on_result_, nullptr);
    if (on_result == nullptr) {
        return;
    }
    if (timer_ != nullptr) {
        timer_->stop();
    }
    if (alive) {
        error_code ignored; // The options only affect performance.
        connection_->socket.set_option(tcp::no_delay(true), ignored);
        connection_->socket.non_blocking(true, ignored);
        connection_->usable_until = now() + unused_for;
        pool_.keep(where_, std::exchange(connection_, nullptr));
    }
    cancel();
    on_result(alive);
}

void liveness_check::cancel()
{
    on_result_ = nullptr;
    if (timer_ != nullptr) {
        timer_->stop();
    }
    if (const auto unused = std::exchange(connection_, nullptr)) {
        error_code ignored; // The connection is discarded anyway.
        unused->socket.close(ignored);
    }
}

} // namespace ej::front
