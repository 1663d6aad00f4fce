#pragma once

#include <fleet/endpoint_stand_in.h>
#include <fleet/step.h>

#include <limits>
#include <mutex>
#include <string>
#include <vector>

namespace ej::fleet {

/// An endpoint that refuses requests with 503 and Retry-After when it is told to, and keeps the
/// connections. Thread-safe.
class backoff_endpoint {
public:
    /// `serve` answers the requests that are not refused.
    explicit backoff_endpoint(endpoint_stand_in::script serve);

    /// From now on, `count` requests are refused; `lines` are the header lines added to the answer.
    void refuse(std::string lines, int count = std::numeric_limits<int>::max());

    /// Ends the refusals.
    void accept() { refuse({}, 0); }

    /// Number of requests refused so far.
    [[nodiscard]] int refused() const;

    /// Number of requests received so far.
    [[nodiscard]] int arrivals() const { return static_cast<int>(stand_in_.requests().size()); }

    [[nodiscard]] endpoint_stand_in& stand_in() { return stand_in_; }

private:
    [[nodiscard]] std::vector<step> answer(const std::string& request, int number);

    endpoint_stand_in::script serve_;
    mutable std::mutex mutex_;
    std::string lines_;
    int to_refuse_ = 0;
    int refused_ = 0;
    endpoint_stand_in stand_in_; // Last: its threads use the other members.
};

/// The header line that asks for a backoff of `seconds`.
[[nodiscard]] std::string retry_after_line(const std::string& seconds);

} // namespace ej::fleet
