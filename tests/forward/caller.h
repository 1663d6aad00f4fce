#pragma once

#include <core/address.h>

#include <chrono>
#include <string>

namespace ej::forward_tests {

/// A blocking HTTP client with one connection.
class caller {
public:
    /// `receive_bytes`: size of the kernel's receive buffer; 0 leaves it to the kernel.
    explicit caller(const core::address& where, int receive_bytes = 0);
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

    /// Reads a little at a time, with pauses, until `time` has passed or the connection ends.
    void read_slowly(std::chrono::milliseconds time);

    /// Reads until the connection ends or 20 s pass without data. Returns all bytes received.
    [[nodiscard]] std::string read_to_end();

    /// True if reading has shown that the daemon reset the connection.
    [[nodiscard]] bool was_reset() const { return was_reset_; }

    /// True if the daemon closes the connection within `time` without sending anything.
    [[nodiscard]] bool closed_within(std::chrono::milliseconds time) const;

    void close();

private:
    bool read_more();

    int socket_ = -1;
    std::string bytes_;
    bool was_reset_ = false;
};

/// The decoded body of a chunked answer.
[[nodiscard]] std::string joined_chunks(const std::string& answer);

} // namespace ej::forward_tests
