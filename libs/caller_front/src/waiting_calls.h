#pragma once

#include "front_context.h"
#include "lazy_timer.h"
#include "net.h"
#include "waiting_call.h"

#include <overload/generation_demand.h>
#include <overload/waiting_room.h>

#include <core/request_id.h>
#include <core/service_id.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace ej::front {

/// The calls of a lane that wait for places at engines. Looks for free places while any waits. Used
/// on one lane.
class waiting_calls {
public:
    /// Both outlive the object.
    waiting_calls(front_context& context, asio::io_context& lane);
    ~waiting_calls();
    waiting_calls(const waiting_calls&) = delete;
    waiting_calls& operator=(const waiting_calls&) = delete;
    waiting_calls(waiting_calls&&) = delete;
    waiting_calls& operator=(waiting_calls&&) = delete;

    /// Lets `call` wait; returns the number under which it does. Others may have to leave for it.
    core::request_id add(const std::shared_ptr<waiting_call>& call,
                         const overload::generation_demand& demand, std::size_t bytes);

    /// `id` waits no longer, without a place; no effect if it does not wait.
    void remove(const core::request_id& id);

    /// `id` got a place.
    void grant(const core::request_id& id);

    /// A place became free at an engine, which this daemon knows first.
    void place_freed();

    /// Number of calls that wait for engines of `service` on this lane.
    [[nodiscard]] std::size_t count(const core::service_id& service) const
    {
        return room_.count(service);
    }

private:
    struct entry {
        std::weak_ptr<waiting_call> call;
        core::service_id service;
    };

    void look();
    void review();
    void serve(const core::service_id& service);
    void end(const core::request_id& id, std::string_view reason);
    void forget(const core::request_id& id);
    void look_later();

    front_context& context_;
    overload::waiting_room room_;
    std::unordered_map<core::request_id, entry> calls_;
    std::shared_ptr<lazy_timer> timer_;
    std::uint64_t last_number_ = 0;
};

} // namespace ej::front
