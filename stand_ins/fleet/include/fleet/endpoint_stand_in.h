#pragma once

#include <fleet/step.h>

#include <core/address.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ej::fleet {

/// An endpoint that answers each request by a script. Thread-safe.
class endpoint_stand_in {
public:
    /// The steps that answer the request numbered `number` (from 0) of this endpoint.
    using script = std::function<std::vector<step>(const std::string& request, int number)>;

    explicit endpoint_stand_in(script answer);
    ~endpoint_stand_in();
    endpoint_stand_in(const endpoint_stand_in&) = delete;
    endpoint_stand_in& operator=(const endpoint_stand_in&) = delete;
    endpoint_stand_in(endpoint_stand_in&&) = delete;
    endpoint_stand_in& operator=(endpoint_stand_in&&) = delete;

    [[nodiscard]] core::address address() const { return address_; }

    /// The requests received so far, whole.
    [[nodiscard]] std::vector<std::string> requests() const;

    /// Connections that callers closed while their request was being answered.
    [[nodiscard]] int abandoned() const { return abandoned_; }

    /// Connections accepted so far.
    [[nodiscard]] int connections() const { return connections_; }

    /// Accepts no more connections and sends nothing more on the open ones.
    void go_dark();

private:
    void accept();
    void serve(int connection);
    bool run_steps(int connection, const std::vector<step>& steps);
    [[nodiscard]] bool wait(int connection, std::chrono::milliseconds time);

    script answer_;
    int listener_;
    core::address address_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> unresponsive_{false};
    std::atomic<int> abandoned_{0};
    std::atomic<int> connections_{0};
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// The answer of an endpoint that ran a request: signed, with `body` and the fields `more`.
[[nodiscard]] std::string signed_answer(const std::string& request, int status,
                                        const std::string& body, const std::string& more = {});

/// The head of a signed stream of events.
[[nodiscard]] std::string stream_head(const std::string& request);

/// Event `id` of a stream, as a chunk.
[[nodiscard]] std::string event_chunk(int id);

/// The end of a chunked answer.
[[nodiscard]] std::string last_chunk();

/// The value of the field `name` in the text of a request; empty if there is none.
[[nodiscard]] std::string field_of(const std::string& request, const std::string& name);

/// What an endpoint registers in the store.
[[nodiscard]] std::string registration(const std::string& service, const core::address& where,
                                       const std::string& zone, const std::string& state = "ready",
                                       long long born = 1);

} // namespace ej::fleet
