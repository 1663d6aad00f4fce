#pragma once

#include <cstddef>
#include <string_view>

namespace ej::front {

/// What a caller's connection is doing.
enum class connection_phase {
    idle,      ///< Waits for a request.
    reading,   ///< Part of a request has been received.
    answering, ///< A whole request has been received, and its answer is not sent yet.
    aborting,  ///< The answer was broken off; what was accepted of it is being sent.
    lingering, ///< The sending half is closed; input is ignored.
    closed
};

inline constexpr std::size_t connection_phase_count = 6;

/// The name used in logs.
[[nodiscard]] std::string_view to_string(connection_phase phase);

} // namespace ej::front
