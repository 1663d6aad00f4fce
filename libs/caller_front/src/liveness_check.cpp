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
    timer_ = std::make_shared<lazy_timer>(pool_.lane(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->end(false);
        }
    });
    timer_->set(now() + timeout);
    connect();
}

void liveness_check::connect()
{
    error_code error;
    const auto number = asio::ip::make_address(where_.host, error);
    if (error) {
        end(false);
        return;
    }
    connection_->socket.async_connect(
        tcp::endpoint(number, where_.port),
        [self = shared_from_this()](const error_code& failure) { self->connected(failure); });
}

void liveness_check::connected(const error_code& error)
{
    if (on_result_ == nullptr) {
        return;
    }
    if (error != asio::error::connection_reset) {
        end(!error);
        return;
    }
    // A process that ends also resets connections that it has not accepted yet; only one that still
    // runs resets the next one as well.
    if (std::exchange(was_reset_, true)) {
        connection_ = nullptr;
        end(true);
        return;
    }
    connection_ = std::make_shared<upstream_connection>(pool_.lane());
    connect();
}

void liveness_check::end(bool alive)
{
    const auto on_result = std::exchange(on_result_, nullptr);
    if (on_result == nullptr) {
        return;
    }
    timer_->stop();
    if (alive && connection_ != nullptr) {
        connection_->set_up();
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
