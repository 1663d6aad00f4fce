#pragma once

#include <core/address.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace ej::fleet {

/// An in-process endpoint that answers each request with a beginning and then writes the same part
/// again and again until the peer closes the connection. Thread-safe.
class flooding_endpoint {
public:
    /// Returns the beginning of the answer to `request`.
    using beginning = std::function<std::string(const std::string& request)>;

    /// `part` is written every `interval`; without an interval, as fast as the peer reads.
    flooding_endpoint(beginning begin, std::string part, std::chrono::milliseconds interval = {});
    ~flooding_endpoint();
    flooding_endpoint(const flooding_endpoint&) = delete;
    flooding_endpoint& operator=(const flooding_endpoint&) = delete;
    flooding_endpoint(flooding_endpoint&&) = delete;
    flooding_endpoint& operator=(flooding_endpoint&&) = delete;

    [[nodiscard]] core::address address() const { return address_; }

    /// Number of requests received so far.
    [[nodiscard]] int requests() const { return requests_; }

    /// Number of connections that the peer closed during an answer.
    [[nodiscard]] int closed() const { return closed_; }

private:
    void accept();
    void serve(int connection);
    [[nodiscard]] bool send_all(int connection, const std::string& text) const;

    beginning begin_;
    std::string part_;
    std::chrono::milliseconds interval_;
    int listener_;
    core::address address_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> requests_{0};
    std::atomic<int> closed_{0};
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace ej::fleet
