#pragma once

#include "message.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace review {

/// Accepts connections on a port of 127.0.0.1 and serves each one in a thread.
class server {
public:
    explicit server(int port) : port_(port) {}
    virtual ~server() = default;
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    [[nodiscard]] int port() const { return port_; }

    /// False if the port is taken.
    bool open();

    /// Stops listening and ends all connections, with a reset if `reset`. Returns when all threads
    /// have ended.
    void close(bool reset);

protected:
    /// Serves a connection until its end.
    virtual void serve(connection& peer) = 0;

    [[nodiscard]] bool closing() const { return closing_; }

private:
    void accept_all(int listener);

    int port_;
    std::atomic<bool> closing_{false};
    int listener_ = -1;
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<std::shared_ptr<connection>> open_;
    std::vector<std::thread> threads_;
};

} // namespace review
