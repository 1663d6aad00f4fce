#pragma once

#include <compare>
#include <string>

namespace ej::forward_tests {

/// The outcome of one request to an `engine_group`.
struct prompt_outcome {
    std::string id;
    std::string answer; ///< All bytes of the answer.

    /// True if the answer is the whole stream.
    [[nodiscard]] bool served() const;

    /// True if the answer promises that the request has not run and says when to try again.
    [[nodiscard]] bool refused() const;

    /// The Retry-After of the answer in seconds; 0 if it has none.
    [[nodiscard]] double retry_after_s() const;

    friend auto operator<=>(const prompt_outcome&, const prompt_outcome&) = default;
};

} // namespace ej::forward_tests
