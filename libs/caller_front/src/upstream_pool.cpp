#include "upstream_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::front {

namespace {

// Limit for a lane's idle connections to one endpoint. A burst of requests may open more; beyond
// the limit the oldest idle one is closed.
constexpr std::size_t max_idle = 6;

void close(upstream_connection& connection)
{
    error_code ignored; // The connection is discarded anyway.
    connection.socket.close(ignored);
}

/// True if the connection is open and has received nothing: neither its end nor a stray answer.
bool is_open_and_silent(upstream_connection& connection)
{
    error_code error;
    char byte = 0;
    connection.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

upstream_connection_ptr upstream_pool::take(const core::address& where,
                                            const std::string& request_id, core::instant now)
{
    const auto found = idle_.find(where);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& list = found->second;
    const auto is_suitable = [&](const upstream_connection_ptr& one) {
        return !one->has_carried(request_id);
    };
    for (;;) {
        // The one that was used last is the least likely to be closed by the endpoint.
        const auto place = std::ranges::find_if(list.rbegin(), list.rend(), is_suitable);
        if (place == list.rend()) {
            return nullptr;
        }
        const auto connection = std::move(*place);
        list.erase(std::next(place).base());
        ++connection->idle_period;
        if (now < connection->usable_until && is_open_and_silent(*connection)) {
            error_code ignored; // Cancels the wait for unexpected bytes; `idle_period` makes its
                                // handler a no-op.
            connection->socket.cancel(ignored);
            return connection;
        }
        close(*connection);
    }
}

void upstream_pool::keep(const core::address& where, const upstream_connection_ptr& connection)
{
    auto& list = idle_[where];
    if (list.size() >= max_idle) {
        close(*list.front());
        list.erase(list.begin());
    }
    list.push_back(connection);
    watch(where, connection);
}

void upstream_pool::watch(const core::address& where, const upstream_connection_ptr& connection)
{
    const auto period = connection->idle_period;
    connection->socket.async_wait(tcp::socket::wait_read,
                                  [this, where, connection, period](const error_code&) {
                                      if (connection->idle_period != period) {
                                          return;
                                      }
                                      std::erase(idle_[where], connection);
                                      close(*connection);
                                  });
}

void upstream_pool::drop(const core::address& where)
{
    const auto found = idle_.find(where);
    if (found == idle_.end()) {
        return;
    }
    for (const auto& connection : found->second) {
        ++connection->idle_period;
        close(*connection);
    }
    idle_.erase(found);
}

} // namespace ej::front
