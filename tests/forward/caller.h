#pragma once

#include <core/address.h>

#include <chrono>
#include <string>

namespace ej::forward_tests {

/// A blocking HTTP client with one connection.
class caller {
public:
    explicit caller(const core::address& where);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    caller(caller&&) = delete;
    caller& operator=(caller&&) = delete;

    void send(const std::string& text) const;

    /// Reads one whole answer, delimited by its length or last chunk. Returns the bytes received so
    /// far if the connection ends earlier or 20 s pass without data.
    [[nodiscard]] std::string read_answer();

    /// Reads until `text` is received, the connection ends or 20 s pass without data. Returns all
    /// bytes received.
    [[nodiscard]] std::string read_until(const std::string& text);

    /// True if the daemon closes the connection within `time` without sending anything.
    [[nodiscard]] bool closed_within(std::chrono::milliseconds time) const;

    void close();

private:
    bool read_more();

    int socket_ = -1;
    std::string bytes_;
};

/// The decoded body of a chunked answer.
[[nodiscard]] std::string joined_chunks(const std::string& answer);

} // namespace ej::forward_tests
