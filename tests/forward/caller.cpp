#include "caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <thread>
#include <vector>

namespace ej::forward_tests {

namespace {

// Only bounds a hang; no passing test waits this long.
constexpr int longest_wait_ms = 20'000;

} // namespace

caller::caller(const core::address& where, int receive_bytes)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    if (receive_bytes > 0) {
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(where.port);
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
        throw std::runtime_error("cannot connect to the daemon");
    }
}

caller::~caller()
{
    close();
}

void caller::close()
{
    if (socket_ >= 0) {
        ::close(socket_);
        socket_ = -1;
    }
}

void caller::send(const std::string& text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(socket_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return; // The cause shows when the answer is read.
        }
        sent += static_cast<std::size_t>(count);
    }
}

bool caller::read_more()
{
    pollfd readable{socket_, POLLIN, 0};
    if (::poll(&readable, 1, longest_wait_ms) <= 0) {
        return false;
    }
    constexpr std::size_t read_bytes = 16'384;
    std::vector<char> part(read_bytes);
    const auto count = ::recv(socket_, part.data(), part.size(), 0);
    was_reset_ = count < 0 && errno == ECONNRESET;
    bytes_.append(part.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return count > 0;
}

std::string caller::read_until(const std::string& text)
{
    while (bytes_.find(text) == std::string::npos && read_more()) {
    }
    return bytes_;
}

void caller::read_slowly(std::chrono::milliseconds time)
{
    constexpr std::chrono::milliseconds pause{50};
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end && read_more()) {
        std::this_thread::sleep_for(pause);
    }
}

std::string caller::read_to_end()
{
    while (read_more()) {
    }
    return bytes_;
}

std::string caller::read_answer()
{
    const std::string length_field = "Content-Length: ";
    for (;;) {
        const auto head_end = bytes_.find("\r\n\r\n");
        if (head_end != std::string::npos) {
            const auto head = bytes_.substr(0, head_end + 2);
            const auto length = head.find(length_field);
            std::size_t answer_size = std::string::npos;
            if (length != std::string::npos) {
                answer_size = head_end + 4 + std::stoul(head.substr(length + length_field.size()));
            }
            else if (const auto last = bytes_.find("\r\n0\r\n\r\n"); last != std::string::npos) {
                answer_size = last + 7;
            }
            if (answer_size != std::string::npos && bytes_.size() >= answer_size) {
                const auto answer = bytes_.substr(0, answer_size);
                bytes_.erase(0, answer_size);
                return answer;
            }
        }
        if (!read_more()) {
            return bytes_;
        }
    }
}

bool caller::closed_within(std::chrono::milliseconds time) const
{
    pollfd readable{socket_, POLLIN, 0};
    if (::poll(&readable, 1, static_cast<int>(time.count())) <= 0) {
        return false;
    }
    char byte = 0;
    return ::recv(socket_, &byte, 1, 0) <= 0;
}

std::string joined_chunks(const std::string& answer)
{
    std::string body;
    auto place = answer.find("\r\n\r\n") + 4;
    while (place < answer.size()) {
        const auto line_end = answer.find("\r\n", place);
        constexpr int hexadecimal = 16;
        const auto size = std::stoul(answer.substr(place, line_end - place), nullptr, hexadecimal);
        if (size == 0) {
            break;
        }
        body += answer.substr(line_end + 2, size);
        place = line_end + 2 + size + 2;
    }
    return body;
}

} // namespace ej::forward_tests
