#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <stdexcept>
#include <string_view>

namespace ej::crowd_tests {

namespace {

// A daemon that takes nothing from any client for this long reads no more.
constexpr int stalled_ms = 1'000;

// Sent by one client before the next one has its turn.
constexpr std::size_t bytes_per_turn = std::size_t{64} << 10;

/// The bytes of `script` from `place` on, up to the end of its head or part.
std::string_view text_at(const crowd_script& script, std::size_t place)
{
    if (place < script.head.size()) {
        return std::string_view(script.head).substr(place);
    }
    const auto in_parts = place - script.head.size();
    if (script.part.empty() || in_parts >= script.part.size() * script.parts) {
        return {};
    }
    return std::string_view(script.part).substr(in_parts % script.part.size());
}

int connect_to(const core::address& where)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        throw std::runtime_error("cannot open a socket");
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(where.port);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot connect to the daemon");
    }
    return socket;
}

} // namespace

crowd::~crowd()
{
    leave();
}

void crowd::add(std::size_t count, const core::address& where, const crowd_script& script)
{
    std::generate_n(std::back_inserter(clients_), count,
                    [&] { return client{connect_to(where), script}; });
}

void crowd::send_some(client& one)
{
    std::size_t sent = 0;
    while (sent < bytes_per_turn) {
        const auto text = text_at(one.script, one.place);
        if (text.empty()) {
            one.done = true;
            break;
        }
        const auto count =
            ::send(one.socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0) {
            one.done = errno != EAGAIN;
            break;
        }
        sent += static_cast<std::size_t>(count);
        one.place += static_cast<std::size_t>(count);
    }
}

void crowd::press()
{
    for (;;) {
        std::vector<pollfd> writable;
        std::vector<client*> owners;
        for (client& one : clients_) {
            if (!one.done) {
                writable.push_back({one.socket, POLLOUT, 0});
                owners.push_back(&one);
            }
        }
        if (writable.empty() || ::poll(writable.data(), writable.size(), stalled_ms) <= 0) {
            return;
        }
        for (std::size_t number = 0; number < owners.size(); ++number) {
            if (writable[number].revents != 0) {
                send_some(*owners[number]);
            }
        }
    }
}

void crowd::leave()
{
    std::ranges::for_each(clients_, [](const client& one) { ::close(one.socket); });
    clients_.clear();
}

} // namespace ej::crowd_tests
