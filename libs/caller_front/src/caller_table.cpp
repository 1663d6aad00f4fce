#include "caller_table.h"

#include "caller_connection.h"
#include "clock.h"

#include <logging/log.h>
#include <pressure/share_of_memory.h>

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace ej::front {

namespace {

// A crowd that stays would otherwise fill the log.
constexpr std::chrono::seconds log_interval{1};

} // namespace

caller_table::caller_table(front_context& context, asio::io_context& lane)
    : context_(context), lane_(lane)
{
}

caller_table::~caller_table()
{
    context_.callers_bytes -= bytes_counted_;
}

std::uint64_t caller_table::add(const std::weak_ptr<caller_connection>& connection)
{
    const auto number = ++last_number_;
    connections_.emplace(number, connection);
    limits_ = limits();
    update(number, {0, now(), pressure::close_order::waiting});
    return number;
}

void caller_table::update(std::uint64_t number, const pressure::holding& held)
{
    if (!connections_.contains(number)) {
        return;
    }
    held_.put(number, held);
    count_bytes();
    if (held_.exceeds(limits_)) {
        review_later();
    }
}

void caller_table::remove(std::uint64_t number)
{
    connections_.erase(number);
    held_.erase(number);
    count_bytes();
}

void caller_table::count_bytes()
{
    // The difference is added modulo the size of the type, also if it is negative.
    const auto bytes = held_.bytes();
    context_.callers_bytes += bytes - std::exchange(bytes_counted_, bytes);
}

void caller_table::for_each(void (caller_connection::*action)())
{
    std::vector<std::weak_ptr<caller_connection>> listed; // An action may remove its connection.
    listed.reserve(connections_.size());
    for (const auto& [number, connection] : connections_) {
        listed.push_back(connection);
    }
    for (const auto& one : listed) {
        if (const auto connection = one.lock()) {
            (connection.get()->*action)();
        }
    }
}

pressure::holding_limits caller_table::limits() const
{
    const auto rules = *context_.rules.load();
    const auto allowed = rules == nullptr ? forwarding::caller_limits{} : rules->rules().limits;
    // A buffer may be twice as large as what it holds.
    const auto largest = 2 * (allowed.max_body_bytes + allowed.max_header_bytes);
    const auto& settings = context_.settings;
    return pressure::share_of_memory(settings.caller_memory, settings.max_callers, settings.lanes,
                                     largest);
}

/// Deferred, since the connection that reports its holding is still handling an event.
void caller_table::review_later()
{
    if (std::exchange(review_queued_, true)) {
        return;
    }
    asio::post(lane_, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->review_queued_ = false;
            self->review();
        }
    });
}

void caller_table::review()
{
    // Each connection has one turn at most: one that has received a request after all stays open.
    for (auto turns = held_.size(); turns > 0; --turns) {
        const auto number = held_.next_to_close(limits_);
        if (!number) {
            return;
        }
        if (const auto connection = connections_.at(*number).lock()) {
            const bool too_many = held_.size() > limits_.connections;
            log_shed(too_many ? "connections" : "memory");
            std::invoke(too_many ? &caller_connection::close_surplus
                                 : &caller_connection::free_memory,
                        *connection);
        }
        else {
            remove(*number);
        }
    }
}

void caller_table::log_shed(std::string_view limit)
{
    context_.metrics.count("caller_connections_shed_total", {{"limit", std::string(limit)}});
    ++shed_;
    const auto at = now();
    if (at >= next_log_) {
        next_log_ = at + log_interval;
        logging::log(logging::level::warn, "callers exceed a limit",
                     {{"limit", std::string(limit)},
                      {"connections", std::to_string(held_.size())},
                      {"bytes", std::to_string(held_.bytes())},
                      {"shed", std::to_string(std::exchange(shed_, 0))}});
    }
}

} // namespace ej::front
