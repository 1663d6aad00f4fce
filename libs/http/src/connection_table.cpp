#include "connection_table.h"

#include "server_connection.h"

#include <chrono>

namespace ej::http {

std::uint64_t connection_table::add(const std::shared_ptr<server_connection>& connection)
{
    std::uint64_t number = 0;
    {
        const std::scoped_lock lock(mutex_);
        number = ++last_number_;
        connections_.emplace(number, connection);
    }
    update(number, {0, core::instant::clock::now(), pressure::close_order::waiting});
    return number;
}

void connection_table::update(std::uint64_t number, const pressure::holding& held)
{
    std::vector<std::weak_ptr<server_connection>> surplus;
    {
        const std::scoped_lock lock(mutex_);
        if (!connections_.contains(number)) {
            return;
        }
        held_.put(number, held);
        surplus = take_surplus();
    }
    for (const auto& one : surplus) {
        if (const auto connection = one.lock()) {
            connection->shed_later();
        }
    }
}

void connection_table::remove(std::uint64_t number)
{
    const std::scoped_lock lock(mutex_);
    connections_.erase(number);
    held_.erase(number);
}

/// Removes from `held_` what has to be closed. A connection that got work meanwhile stays open and
/// is listed again when it reports its next holding.
std::vector<std::weak_ptr<server_connection>> connection_table::take_surplus()
{
    std::vector<std::weak_ptr<server_connection>> taken;
    while (const auto number = held_.next_to_close(limits_)) {
        held_.erase(*number);
        taken.push_back(connections_.at(*number));
    }
    return taken;
}

} // namespace ej::http
