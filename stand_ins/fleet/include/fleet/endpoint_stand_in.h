#pragma once

#include <fleet/step.h>

#include <core/address.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ej::fleet {

/// An in-process endpoint that answers each request with scripted steps. Thread-safe.
class endpoint_stand_in {
public:
    /// Returns the steps that answer `request`, the endpoint's request number `number` (from 0).
    using script = std::function<std::vector<step>(const std::string& request, int number)>;

    /// Called on the endpoint's own thread when it accepts connections again after a crash.
    using restart_callback = std::function<void()>;

    explicit endpoint_stand_in(script answer, restart_callback on_restart = [] {});
    ~endpoint_stand_in();
    endpoint_stand_in(const endpoint_stand_in&) = delete;
    endpoint_stand_in& operator=(const endpoint_stand_in&) = delete;
    endpoint_stand_in(endpoint_stand_in&&) = delete;
    endpoint_stand_in& operator=(endpoint_stand_in&&) = delete;

    [[nodiscard]] core::address address() const { return address_; }

    /// The full text of each request received so far.
    [[nodiscard]] std::vector<std::string> requests() const;

    /// Number of connections that the peer closed during a scripted wait or hang.
    [[nodiscard]] int abandoned() const { return abandoned_; }

    /// Number of connections accepted so far.
    [[nodiscard]] int connections() const { return connections_; }

    /// Ends the current and all further `hold` steps.
    void release() { released_ = true; }

    /// From now on every answer has the header lines `fields`, by default those of an endpoint that
    /// leaves. Without `fields` answers are sent as scripted again.
    void add_to_answers(const std::string& fields = "Server-Leaving: 1\r\n");

    /// Stops accepting connections and sends nothing more on those that are open.
    void stop_responding();

    /// Resets all connections and refuses new ones for `down`, then starts again at the same
    /// address. Does nothing while the endpoint is down.
    void crash(std::chrono::milliseconds down);

    /// From now on, requests are answered once their header has arrived; the rest stays unread.
    void answer_early() { answers_early_ = true; }

    /// Number of crashes so far.
    [[nodiscard]] int crashes() const { return crashes_; }

private:
    using instant = std::chrono::steady_clock::time_point;

    /// A connection that was accepted after `crashes` crashes.
    struct accepted {
        int socket = -1;
        int crashes = 0;
    };

    void run_listener();
    void accept_one();
    void restart();
    void serve(const accepted& connection);
    bool run_steps(const accepted& connection, const std::vector<step>& steps);
    [[nodiscard]] std::string with_added_fields(const std::string& text) const;
    [[nodiscard]] bool wait(const accepted& connection, std::chrono::milliseconds time);
    [[nodiscard]] bool hold(const accepted& connection);
    void end_with(int socket, const std::string& text) const;
    [[nodiscard]] bool lost(const accepted& connection) const;

    script answer_;
    restart_callback on_restart_;
    int reserved_; ///< Bound to the address all the time, so that no other socket can take it.
    int listener_;
    core::address address_;
    std::optional<instant> down_until_;
    std::atomic<int> crashes_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> unresponsive_{false};
    std::atomic<bool> released_{false};
    std::atomic<bool> answers_early_{false};
    std::atomic<int> abandoned_{0};
    std::atomic<int> connections_{0};
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::string added_fields_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// A signed response to an executed `request`, with `body` and the extra header lines `more`.
[[nodiscard]] std::string signed_answer(const std::string& request, int status,
                                        const std::string& body, const std::string& more = {});

/// The head of a signed, chunked event stream response, with the extra header lines `more`.
[[nodiscard]] std::string stream_head(const std::string& request, const std::string& more = {});

/// Event `id` of an event stream, as an HTTP chunk.
[[nodiscard]] std::string event_chunk(int id);

/// The last chunk of a chunked response.
[[nodiscard]] std::string last_chunk();

/// The value of header `name` in the text of a request; empty if it is absent. Case-sensitive.
[[nodiscard]] std::string header_value(const std::string& request, const std::string& name);

/// True if the prompt of `request` has the part `id`, written as the caller wrote it.
[[nodiscard]] bool has_prompt_part(const std::string& request, const std::string& id);

/// The JSON record that an endpoint registers in the store.
[[nodiscard]] std::string registration(const std::string& service, const core::address& where,
                                       const std::string& zone, const std::string& state = "ready",
                                       long long born = 1);

} // namespace ej::fleet
