#include <fleet/endpoint_stand_in.h>

#include <core/text.h>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <string_view>
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

/// A socket bound to `port` of the loopback address; 0 chooses a free port.
int bound_socket(std::uint16_t port)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Lets several sockets be bound to the port, of which one listens.
    const int shared = 1;
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(port);
    if (made < 0 || ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &shared, sizeof shared) != 0 ||
        ::bind(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
        throw std::runtime_error("cannot bind the socket of the endpoint");
    }
    return made;
}

std::uint16_t port_of(int socket)
{
    sockaddr_in where{};
    socklen_t size = sizeof where;
    if (::getsockname(socket, reinterpret_cast<sockaddr*>(&where), &size) != 0) {
        throw std::runtime_error("cannot read the address of the endpoint");
    }
    return ntohs(where.sin_port);
}

void listen_on(int socket)
{
    if (::listen(socket, backlog) != 0) {
        throw std::runtime_error("cannot listen on the socket of the endpoint");
    }
}

/// Makes the next close of `socket` a TCP reset.
void reset_on_close(int socket)
{
    const linger immediate{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
}

/// Lets the kernel drop every packet that arrives for `socket`, as if its machine had lost the
/// network.
void drop_packets(int socket)
{
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog filter{1, &drop_all};
    if (::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
        throw std::runtime_error("cannot filter the packets of the endpoint");
    }
}

void take_packets(int socket)
{
    const int unused = 0;
    ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

} // namespace

endpoint_stand_in::endpoint_stand_in(script answer, restart_callback on_restart)
    : answer_(std::move(answer)), on_restart_(std::move(on_restart)), reserved_(bound_socket(0)),
      listener_(bound_socket(port_of(reserved_))), address_("127.0.0.1", port_of(reserved_))
{
    listen_on(listener_);
    acceptor_ = std::thread([this] { run_listener(); });
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
    ::close(reserved_);
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

void endpoint_stand_in::add_to_answers(const std::string& fields)
{
    const std::scoped_lock lock(mutex_);
    added_fields_ = fields;
}

/// `text` with the added header lines if it begins an answer.
std::string endpoint_stand_in::with_added_fields(const std::string& text) const
{
    const std::scoped_lock lock(mutex_);
    if (added_fields_.empty() || !text.starts_with("HTTP/1.1 ")) {
        return text;
    }
    const auto fields_begin = text.find("\r\n") + 2;
    return text.substr(0, fields_begin) + added_fields_ + text.substr(fields_begin);
}

void endpoint_stand_in::crash(std::chrono::milliseconds down)
{
    const std::scoped_lock lock(mutex_);
    if (down_until_) {
        return;
    }
    down_until_ = std::chrono::steady_clock::now() + down;
    // Connections are refused before the open ones are reset, so that nobody who sees a reset
    // still reaches the endpoint.
    ::shutdown(listener_, SHUT_RDWR);
    ++crashes_;
}

bool endpoint_stand_in::lost(const accepted& connection) const
{
    return stopping_ || crashes_ != connection.crashes;
}

void endpoint_stand_in::run_listener()
{
    while (!stopping_ && !unresponsive_) {
        pollfd descriptor{listener_, POLLIN, 0};
        if (::poll(&descriptor, 1, poll_ms) <= 0 || unresponsive_) {
            continue;
        }
        if ((descriptor.revents & POLLHUP) != 0) {
            restart();
        }
        else {
            accept_one();
        }
    }
}

void endpoint_stand_in::accept_one()
{
    const std::scoped_lock lock(mutex_);
    if (down_until_) {
        return;
    }
    const accepted connection{::accept(listener_, nullptr, nullptr), crashes_};
    if (connection.socket < 0) {
        return;
    }
    ++connections_;
    threads_.emplace_back([this, connection] { serve(connection); });
}

void endpoint_stand_in::restart()
{
    instant until;
    {
        const std::scoped_lock lock(mutex_);
        until = down_until_.value_or(instant());
    }
    while (!stopping_ && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(poll_interval);
    }
    if (stopping_) {
        return;
    }
    {
        const std::scoped_lock lock(mutex_);
        ::close(listener_);
        listener_ = bound_socket(address_.port);
        listen_on(listener_);
        down_until_.reset();
    }
    on_restart_();
}

bool endpoint_stand_in::wait(const accepted& connection, std::chrono::milliseconds time)
{
    for (std::chrono::milliseconds waited{0}; waited < time && !lost(connection);
         waited += poll_interval) {
        pollfd descriptor{connection.socket, POLLIN | POLLRDHUP, 0};
        if (::poll(&descriptor, 1, static_cast<int>(poll_interval.count())) > 0 &&
            (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            ++abandoned_;
            return false;
        }
    }
    return !lost(connection);
}

bool endpoint_stand_in::hold(const accepted& connection)
{
    while (!released_) {
        if (!wait(connection, poll_interval)) {
            return false;
        }
    }
    return true;
}

/// Sends `text`, closes the sending half and waits until the caller has closed the connection.
void endpoint_stand_in::end_with(int socket, const std::string& text) const
{
    ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    ::shutdown(socket, SHUT_WR);
    bool open = true;
    while (open && !stopping_) {
        pollfd descriptor{socket, POLLIN, 0};
        char byte = 0;
        open = ::poll(&descriptor, 1, poll_ms) <= 0 || ::recv(socket, &byte, 1, 0) > 0;
    }
}

bool endpoint_stand_in::run_steps(const accepted& connection, const std::vector<step>& steps)
{
    for (const step& current : steps) {
        if (unresponsive_) {
            return wait(connection, std::chrono::hours(1));
        }
        if (lost(connection)) {
            return false;
        }
        switch (current.kind) {
        case step_kind::send: {
            const auto text = with_added_fields(current.text);
            if (::send(connection.socket, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
                return false;
            }
            break;
        }
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
        case step_kind::vanish:
            drop_packets(connection.socket);
            if (!wait(connection, current.time)) {
                return false;
            }
            take_packets(connection.socket);
            break;
        case step_kind::close:
            return false;
        case step_kind::reset:
            reset_on_close(connection.socket);
            return false;
        case step_kind::crash:
            crash(current.time);
            if (!current.text.empty()) {
                end_with(connection.socket, current.text);
            }
            return false;
        }
    }
    return true;
}

void endpoint_stand_in::serve(const accepted& connection)
{
    std::string bytes;
    constexpr std::size_t read_bytes = 16'384;
    std::vector<char> buffer(read_bytes);
    bool open = true;
    while (open && !lost(connection)) {
        const auto head_end = bytes.find("\r\n\r\n");
        const auto awaited = [&] {
            return answers_early_ ? 0 : body_bytes(bytes.substr(0, head_end + 4));
        };
        const auto request_end =
            head_end == std::string::npos ? std::string::npos : head_end + 4 + awaited();
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
        pollfd descriptor{connection.socket, POLLIN, 0};
        if (::poll(&descriptor, 1, poll_ms) <= 0) {
            continue;
        }
        const auto count = ::recv(connection.socket, buffer.data(), buffer.size(), 0);
        open = count > 0;
        bytes.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    if (crashes_ != connection.crashes) {
        reset_on_close(connection.socket);
    }
    ::close(connection.socket);
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

bool has_prompt_part(const std::string& request, const std::string& id)
{
    const auto list = header_value(request, "Endivejunction-Prompt-Prefix");
    return std::ranges::any_of(core::split(list, ','), [&](std::string_view entry) {
        return entry.substr(0, entry.find(':')) == id;
    });
}

std::string signed_answer(const std::string& request, int status, const std::string& body,
                          const std::string& more)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nEndivejunction-Attempt-Id: " +
           header_value(request, "Endivejunction-Attempt-Id") +
           "\r\nEndivejunction-Response-Signature: signed\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head(const std::string& request, const std::string& more)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEndivejunction-Attempt-Id: " +
           header_value(request, "Endivejunction-Attempt-Id") +
           "\r\nEndivejunction-Response-Signature: signed\r\n" + more +
           "Transfer-Encoding: chunked\r\n\r\n";
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
