#include "message.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

bool same_name(const std::string& one, const std::string& other)
{
    return std::ranges::equal(
        one, other, {}, [](unsigned char c) { return std::tolower(c); },
        [](unsigned char c) { return std::tolower(c); });
}

std::string word(const std::string& line, int index)
{
    std::size_t begin = 0;
    for (; index > 0; --index) {
        begin = line.find(' ', begin);
        if (begin == std::string::npos) {
            return {};
        }
        ++begin;
    }
    return line.substr(begin, line.find(' ', begin) - begin);
}

sockaddr_in loopback(int port)
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    return where;
}

} // namespace

std::string message::value(const std::string& name) const
{
    for (const auto& [known, text] : fields) {
        if (same_name(known, name)) {
            return text;
        }
    }
    return {};
}

std::string message::method() const
{
    return word(start, 0);
}

std::string message::target() const
{
    return word(start, 1);
}

int message::status() const
{
    return std::atoi(word(start, 1).c_str());
}

connection::~connection()
{
    ::close(socket_);
}

bool connection::receive(steady::time_point until)
{
    for (;;) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        if (left <= 0 || ended_) {
            return false;
        }
        pollfd one{socket_, POLLIN, 0};
        if (::poll(&one, 1, static_cast<int>(std::min<long long>(left, 20))) <= 0) {
            continue;
        }
        char bytes[65'536];
        const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
}

std::optional<message> connection::read_head(steady::time_point until)
{
    std::size_t end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!receive(until)) {
            return std::nullopt;
        }
        end = buffer_.find("\r\n\r\n");
    }
    message read;
    const std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t begin = head.find("\r\n");
    read.start = head.substr(0, begin);
    begin += 2;
    while (begin < head.size()) {
        const auto stop = head.find("\r\n", begin);
        const auto line = head.substr(begin, stop - begin);
        const auto colon = line.find(':');
        const auto text = line.find_first_not_of(' ', colon + 1);
        read.fields.emplace_back(line.substr(0, colon),
                                 text == std::string::npos ? "" : line.substr(text));
        begin = stop + 2;
    }
    return read;
}

std::optional<message> connection::read_request(steady::time_point until)
{
    auto read = read_head(until);
    if (!read) {
        return std::nullopt;
    }
    const auto size = std::strtoul(read->value("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
        if (!receive(until)) {
            return std::nullopt;
        }
    }
    read->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return read;
}

std::optional<message> connection::read_answer(steady::time_point until)
{
    auto read = read_head(until);
    if (!read) {
        return std::nullopt;
    }
    if (same_name(read->value("Transfer-Encoding"), "chunked")) {
        for (;;) {
            std::size_t end = buffer_.find("\r\n");
            while (end == std::string::npos) {
                if (!receive(until)) {
                    read->complete = false;
                    return read;
                }
                end = buffer_.find("\r\n");
            }
            const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2) {
                if (!receive(until)) {
                    read->complete = false;
                    return read;
                }
            }
            read->body += buffer_.substr(end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return read;
            }
        }
    }
    const auto size = std::strtoul(read->value("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
        if (!receive(until)) {
            read->complete = false;
            return read;
        }
    }
    read->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return read;
}

bool connection::write(const std::string& text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(socket_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::closed_by_peer() const
{
    pollfd one{socket_, POLLIN | POLLRDHUP, 0};
    return ::poll(&one, 1, 0) > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void connection::reset_on_close() const
{
    const linger at_once{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

int listen_on(int port)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = loopback(port);
    if (::bind(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 ||
        ::listen(made, 512) != 0) {
        ::close(made);
        return -1;
    }
    return made;
}

int connect_to(int port)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto where = loopback(port);
    if (::connect(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
        ::close(made);
        return -1;
    }
    const int on = 1;
    ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

int free_port()
{
    for (;;) {
        const int tcp = listen_on(0);
        sockaddr_in where{};
        socklen_t size = sizeof where;
        ::getsockname(tcp, reinterpret_cast<sockaddr*>(&where), &size);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const bool both = ::bind(udp, reinterpret_cast<const sockaddr*>(&where), size) == 0;
        ::close(udp);
        ::close(tcp);
        if (both) {
            return ntohs(where.sin_port);
        }
    }
}

} // namespace review
