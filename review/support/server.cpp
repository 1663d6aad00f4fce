#include "server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace review {

bool server::open()
{
    closing_ = false;
    listener_ = listen_on(port_);
    if (listener_ < 0) {
        return false;
    }
    acceptor_ = std::thread([this, listener = listener_] { accept_all(listener); });
    return true;
}

void server::accept_all(int listener)
{
    while (!closing_) {
        pollfd one{listener, POLLIN, 0};
        if (::poll(&one, 1, 20) <= 0) {
            continue;
        }
        const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::scoped_lock lock(mutex_);
        const auto peer = std::make_shared<connection>(accepted);
        open_.insert(peer);
        threads_.emplace_back([this, peer] {
            serve(*peer);
            const std::scoped_lock guard(mutex_);
            open_.erase(peer);
        });
    }
}

void server::close(bool reset)
{
    if (listener_ < 0) {
        return;
    }
    closing_ = true;
    // Refused before the open connections end, as by a process that dies.
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    listener_ = -1;
    acceptor_.join();
    std::vector<std::thread> ended;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& peer : open_) {
            if (reset) {
                peer->reset_on_close();
            }
            peer->end();
        }
        ended.swap(threads_);
    }
    for (auto& one : ended) {
        one.join();
    }
}

} // namespace review
