#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ej::harness {

/// The part of a generation that a client has received so far.
struct received_answer {
    std::string request;
    std::string cursor; ///< Id of the last event that carried an id.
    std::string text;
    std::uint64_t tokens = 0;
    std::uint64_t misplaced_events = 0; ///< `tokens` events with an unexpected offset.
    std::uint64_t total = 0;            ///< Token count that the end event states.
    std::string end_reason;             ///< Empty unless an end event arrived.
    std::string error_kind;             ///< Empty unless the request failed.
    std::string error_reason;

    friend auto operator<=>(const received_answer&, const received_answer&) = default;
};

} // namespace ej::harness
