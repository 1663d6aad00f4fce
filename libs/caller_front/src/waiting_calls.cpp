#include "waiting_calls.h"

#include "clock.h"

#include <fairness/max_min_share.h>
#include <overload/look_interval.h>
#include <overload/waiting_limits.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace ej::front {

waiting_calls::waiting_calls(front_context& context, asio::io_context& lane)
    : context_(context), room_(std::make_shared<fairness::max_min_share>(), {}),
      timer_(std::make_shared<lazy_timer>(lane, [this] { look(); }))
{
}

waiting_calls::~waiting_calls()
{
    timer_->stop();
}

core::request_id waiting_calls::add(const std::shared_ptr<waiting_call>& call,
                                    const overload::generation_demand& demand, std::size_t bytes)
{
    const core::request_id id(std::to_string(++last_number_));
    calls_[id] = {call, demand.service};
    context_.waiting.add(demand.service);
    const auto leaving = room_.add({id, demand, bytes});
    std::ranges::for_each(leaving, [this](const auto& one) { end(one, "queue_full"); });
    look_later();
    return id;
}

void waiting_calls::remove(const core::request_id& id)
{
    room_.remove(id);
    forget(id);
}

void waiting_calls::grant(const core::request_id& id)
{
    room_.grant(id);
    forget(id);
}

void waiting_calls::forget(const core::request_id& id)
{
    const auto found = calls_.find(id);
    if (found != calls_.end()) {
        context_.waiting.remove(found->second.service);
        calls_.erase(found);
    }
}

void waiting_calls::place_freed()
{
    if (!room_.empty()) {
        timer_->set(now());
    }
}

void waiting_calls::look()
{
    const auto due = room_.due(now());
    std::ranges::for_each(due, [this](const auto& one) { end(one, "waited_too_long"); });
    if (context_.leaving) {
        review();
    }
    const auto services = room_.services();
    std::ranges::for_each(services, [this](const auto& one) { serve(one); });
    look_later();
}

void waiting_calls::review()
{
    // Copied, since calls that end remove themselves.
    std::vector<std::shared_ptr<waiting_call>> calls;
    for (const auto& [id, one] : calls_) {
        if (auto call = one.call.lock()) {
            calls.push_back(std::move(call));
        }
    }
    std::ranges::for_each(calls, [](const auto& one) { one->review_wait(); });
}

void waiting_calls::serve(const core::service_id& service)
{
    while (const auto id = room_.next(service, now())) {
        const auto call = calls_.at(*id).call.lock();
        if (call == nullptr) {
            remove(*id);
        }
        else if (!call->take_turn()) {
            return;
        }
    }
}

void waiting_calls::end(const core::request_id& id, std::string_view reason)
{
    const auto found = calls_.find(id);
    const auto call = found == calls_.end() ? nullptr : found->second.call.lock();
    remove(id);
    if (call != nullptr) {
        call->leave(reason);
    }
}

void waiting_calls::look_later()
{
    if (!room_.empty()) {
        const auto draw = context_.choices_made.fetch_add(1);
        timer_->set(now() + overload::look_interval(context_.daemons, draw));
    }
}

} // namespace ej::front
