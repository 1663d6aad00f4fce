#include <fleet/endpoint_stand_in.h>

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
constexpr std::chrono::milliseconds poll_interval{10};

/// The value of Content-Length in the head of a request; 0 if it is absent.
std::size_t body_bytes(const std::string& head)
{
    const auto text = header_value(head, "Content-Length");
    return text.empty() ? 0 : std::stoul(text);
}

} // namespace

endpoint_stand_in::endpoint_stand_in(script answer)
    : answer_(std::move(answer)), listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
    if (listener_ < 0) {
        throw std::runtime_error("cannot create the listening socket of the endpoint");
    }
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof where;
    auto* const generic = reinterpret_cast<sockaddr*>(&where);
    if (::bind(listener_, generic, size) != 0 || ::listen(listener_, backlog) != 0 ||
        ::getsockname(listener_, generic, &size) != 0) {
        throw std::runtime_error("cannot bind the listening socket of the endpoint");
    }
    address_ = {"127.0.0.1", ntohs(where.sin_port)};
    acceptor_ = std::thread([this] { accept(); });
}

endpoint_stand_in::~endpoint_stand_in()
{
    stopping_ = true;
    acceptor_.join();
    for (auto& current : threads_) {
        current.join();
    }
    if (!unresponsive_) {
        ::close(listener_);
    }
}

void endpoint_stand_in::stop_responding()
{
    unresponsive_ = true;
    ::close(listener_);
}

std::vector<std::string> endpoint_stand_in::requests() const
{
    const std::scoped_lock lock(mutex_);
    return requests_;
}

void endpoint_stand_in::accept()
{
    while (!stopping_ && !unresponsive_) {
        pollfd descriptor{listener_, POLLIN, 0};
        if (::poll(&descriptor, 1, poll_ms) <= 0 || unresponsive_) {
            continue;
        }
        const int connection = ::accept(listener_, nullptr, nullptr);
        if (connection < 0) {
            continue;
        }
        ++connections_;
        threads_.emplace_back([this, connection] { serve(connection); });
    }
}

bool endpoint_stand_in::wait(int connection, std::chrono::milliseconds time)
{
    for (std::chrono::milliseconds waited{0}; waited < time && !stopping_;
         waited += poll_interval) {
        pollfd descriptor{connection, POLLIN | POLLRDHUP, 0};
        if (::poll(&descriptor, 1, static_cast<int>(poll_interval.count())) > 0 &&
            (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            ++abandoned_;
            return false;
        }
    }
    return !stopping_;
}

bool endpoint_stand_in::hold(int connection)
{
    while (!released_) {
        if (!wait(connection, poll_interval)) {
            return false;
        }
    }
    return true;
}

bool endpoint_stand_in::run_steps(int connection, const std::vector<step>& steps)
{
    for (const step& current : steps) {
        if (unresponsive_) {
            return wait(connection, std::chrono::hours(1));
        }
        switch (current.kind) {
        case step_kind::send:
            if (::send(connection, current.text.data(), current.text.size(), MSG_NOSIGNAL) < 0) {
                return false;
            }
            break;
        case step_kind::wait:
            if (!wait(connection, current.time)) {
                return false;
            }
            break;
        case step_kind::hold:
            if (!hold(connection)) {
                return false;
            }
            break;
        case step_kind::hang:
            return wait(connection, std::chrono::hours(1));
        case step_kind::close:
            return false;
        case step_kind::reset: {
            const linger immediate{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
            return false;
        }
        }
    }
    return true;
}

void endpoint_stand_in::serve(int connection)
{
    std::string bytes;
    constexpr std::size_t read_bytes = 16'384;
    std::vector<char> buffer(read_bytes);
    bool open = true;
    while (open && !stopping_) {
        const auto head_end = bytes.find("\r\n\r\n");
        const auto request_end = head_end == std::string::npos
                                     ? std::string::npos
                                     : head_end + 4 + body_bytes(bytes.substr(0, head_end + 4));
        if (request_end != std::string::npos && bytes.size() >= request_end) {
            const auto request = bytes.substr(0, request_end);
            bytes.erase(0, request_end);
            int number = 0;
            {
                const std::scoped_lock lock(mutex_);
                number = static_cast<int>(requests_.size());
                requests_.push_back(request);
            }
            open = run_steps(connection, answer_(request, number));
            continue;
        }
        pollfd descriptor{connection, POLLIN, 0};
        if (::poll(&descriptor, 1, poll_ms) <= 0) {
            continue;
        }
        const auto count = ::recv(connection, buffer.data(), buffer.size(), 0);
        open = count > 0;
        bytes.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    ::close(connection);
}

std::string header_value(const std::string& request, const std::string& name)
{
    const auto begin = request.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const auto start = begin + name.size() + 4;
    return request.substr(start, request.find("\r\n", start) - start);
}

std::string signed_answer(const std::string& request, int status, const std::string& body,
                          const std::string& more)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nEndivejunction-Attempt-Id: " +
           header_value(request, "Endivejunction-Attempt-Id") +
           "\r\nEndivejunction-Response-Signature: signed\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEndivejunction-Attempt-Id: " +
           header_value(request, "Endivejunction-Attempt-Id") +
           "\r\nEndivejunction-Response-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event_chunk(int id)
{
    const auto text = "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n";
    constexpr int hex_digits = 16;
    std::string size;
    for (auto rest = text.size(); rest > 0; rest /= hex_digits) {
        size.insert(size.begin(), "0123456789abcdef"[rest % hex_digits]);
    }
    return size + "\r\n" + text + "\r\n";
}

std::string last_chunk()
{
    return "0\r\n\r\n";
}

std::string registration(const std::string& service, const core::address& where,
                         const std::string& zone, const std::string& state, long long born)
{
    return R"({"service":")" + service + R"(","address":")" + core::to_string(where) +
           R"(","zone":")" + zone + R"(","version":"v1","slots":8,"state":")" + state +
           R"(","coldRemainingMs":0,"sequence":1,"born":)" + std::to_string(born) + "}";
}

} // namespace ej::fleet
