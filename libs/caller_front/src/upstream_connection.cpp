#include "upstream_connection.h"

#include <algorithm>
#include <functional>

namespace ej::front {

namespace {

template <int Option>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Option>;

// Bytes of a request that stay unacknowledged for this long mean that the endpoint has vanished
// without closing the connection. Allows several round trips between failure domains and one
// retransmission.
constexpr int unacknowledged_ms = 1'500;

// Probes of a connection that has been silent for a second. TCP_USER_TIMEOUT replaces the number of
// lost probes: at the first one that is due after this time the connection fails. At least two were
// lost by then.
constexpr int seconds_between_probes = 1;
constexpr int probed_unacknowledged_ms = 3'500;

// Bounds the memory for the identifiers of a connection's requests to 8 kB.
constexpr std::size_t max_requests = 1'000;

} // namespace

bool upstream_connection::has_carried(const std::string& request_id) const
{
    return std::ranges::find(sent, std::hash<std::string>{}(request_id)) != sent.end();
}

void upstream_connection::note_sent(const std::string& request_id)
{
    sent.push_back(std::hash<std::string>{}(request_id));
}

bool upstream_connection::accepts_more() const
{
    return sent.size() < max_requests;
}

void upstream_connection::set_up()
{
    error_code ignored; // Without the options a vanished endpoint is noticed later.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(unacknowledged_ms), ignored);
    socket.non_blocking(true, ignored);
}

void upstream_connection::probe(bool enabled)
{
    if (probed == enabled) {
        return;
    }
    probed = enabled;
    error_code ignored; // As above.
    if (enabled) {
        socket.set_option(tcp_option<TCP_KEEPIDLE>(seconds_between_probes), ignored);
        socket.set_option(tcp_option<TCP_KEEPINTVL>(seconds_between_probes), ignored);
    }
    const int patience = enabled ? probed_unacknowledged_ms : unacknowledged_ms;
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(patience), ignored);
    socket.set_option(asio::socket_base::keep_alive(enabled), ignored);
}

} // namespace ej::front
