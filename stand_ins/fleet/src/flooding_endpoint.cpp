#include <fleet/flooding_endpoint.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace ej::fleet {

namespace {

constexpr int backlog = 64;
constexpr int poll_ms = 20;
constexpr std::size_t block_bytes = 16'384;

} // namespace

flooding_endpoint::flooding_endpoint(beginning begin, std::string part,
                                     std::chrono::milliseconds interval)
    : begin_(std::move(begin)), part_(std::move(part)), interval_(interval),
      listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof where;
    auto* const generic = reinterpret_cast<sockaddr*>(&where);
    if (listener_ < 0 || ::bind(listener_, generic, size) != 0 ||
        ::listen(listener_, backlog) != 0 || ::getsockname(listener_, generic, &size) != 0) {
        throw std::runtime_error("cannot open the listening socket of the endpoint");
    }
    address_ = {"127.0.0.1", ntohs(where.sin_port)};
    // Larger blocks, so that a flood does not take long to reach a limit.
    while (interval_.count() == 0 && part_.size() < block_bytes) {
        part_ += part_;
    }
    acceptor_ = std::thread([this] { accept(); });
}

flooding_endpoint::~flooding_endpoint()
{
    stopping_ = true;
    acceptor_.join();
    for (auto& current : threads_) {
        current.join();
    }
    ::close(listener_);
}

void flooding_endpoint::accept()
{
    while (!stopping_) {
        pollfd descriptor{listener_, POLLIN, 0};
        if (::poll(&descriptor, 1, poll_ms) <= 0) {
            continue;
        }
        const int connection = ::accept(listener_, nullptr, nullptr);
        if (connection >= 0) {
            threads_.emplace_back([this, connection] { serve(connection); });
        }
    }
}

bool flooding_endpoint::send_all(int connection, const std::string& text) const
{
    std::size_t sent = 0;
    while (sent < text.size() && !stopping_) {
        pollfd descriptor{connection, POLLOUT, 0};
        if (::poll(&descriptor, 1, poll_ms) <= 0) {
            continue;
        }
        const auto count =
            ::send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return !stopping_;
}

void flooding_endpoint::serve(int connection)
{
    std::string request;
    std::string block(block_bytes, '\0');
    while (!stopping_ && request.find("\r\n\r\n") == std::string::npos) {
        pollfd descriptor{connection, POLLIN, 0};
        if (::poll(&descriptor, 1, poll_ms) <= 0) {
            continue;
        }
        const auto count = ::recv(connection, block.data(), block.size(), 0);
        if (count <= 0) { // Closed without a request, such as by a check.
            ::close(connection);
            return;
        }
        request.append(block.data(), static_cast<std::size_t>(count));
    }
    ++requests_;
    bool open = send_all(connection, begin_(request));
    while (open) {
        open = send_all(connection, part_);
        std::this_thread::sleep_for(interval_);
    }
    closed_ += stopping_ ? 0 : 1;
    ::close(connection);
}

} // namespace ej::fleet
