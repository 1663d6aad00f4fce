#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ej::harness {

/// What a caller has received so far.
struct received_answer {
    std::string request;
    std::string cursor; ///< Id of the last event with one.
    std::string text;
    std::uint64_t tokens = 0;
    std::uint64_t misplaced = 0; ///< Events whose offset was not the next one.
    std::uint64_t total = 0;     ///< As the end event says.
    std::string end_reason;      ///< Empty unless it has ended.
    std::string error_kind;      ///< Empty unless it has failed.
    std::string error_reason;

    friend auto operator<=>(const received_answer&, const received_answer&) = default;
};

} // namespace ej::harness
