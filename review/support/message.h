#pragma once

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A request or an answer. `start` is its first line.
struct message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool complete = true; ///< False if the connection ended within an answer.

    /// The value of the first field `name`; empty if there is none.
    [[nodiscard]] std::string value(const std::string& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/// A connected TCP socket with a read buffer.
class connection {
public:
    explicit connection(int socket) : socket_(socket) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    /// Reads a request; empty at the end of the connection or after `until`.
    std::optional<message> read_request(steady::time_point until);

    /// Reads a final answer; empty if no whole head arrived.
    std::optional<message> read_answer(steady::time_point until);

    /// False if the peer is gone.
    bool write(const std::string& text) const;

    /// True if the peer has closed its sending half or reset the connection.
    [[nodiscard]] bool closed_by_peer() const;

    /// Makes the close a TCP reset.
    void reset_on_close() const;

    /// Ends all reads, from any thread.
    void end() { ended_ = true; }

    [[nodiscard]] bool ended() const { return ended_; }

private:
    bool receive(steady::time_point until);
    std::optional<message> read_head(steady::time_point until);

    int socket_;
    std::string buffer_;
    std::atomic<bool> ended_{false};
};

/// A socket that listens on `port` of 127.0.0.1; -1 if that fails.
int listen_on(int port);

/// A socket connected to `port` of 127.0.0.1; -1 if that fails.
int connect_to(int port);

/// A free port of 127.0.0.1 for both TCP and UDP.
int free_port();

} // namespace review
