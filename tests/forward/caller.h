#pragma once

#include <core/address.h>

#include <chrono>
#include <string>

namespace ej::forward_tests {

/// A caller with one connection.
class caller {
public:
    explicit caller(const core::address& where);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    caller(caller&&) = delete;
    caller& operator=(caller&&) = delete;

    void send(const std::string& text) const;

    /// Reads one whole answer (by its length or chunks), or what came before the connection ended.
    [[nodiscard]] std::string read_answer();

    /// Reads until `text` was received or the connection ended; what was received.
    [[nodiscard]] std::string read_until(const std::string& text);

    /// True if the daemon has closed the connection within `time` and sent nothing before.
    [[nodiscard]] bool closed_within(std::chrono::milliseconds time) const;

    void close();

private:
    bool read_more();

    int socket_ = -1;
    std::string bytes_;
};

/// The body of a chunked answer, joined.
[[nodiscard]] std::string joined_chunks(const std::string& answer);

} // namespace ej::forward_tests
