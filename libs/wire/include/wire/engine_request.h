#pragma once

#include <core/attempt_number.h>
#include <core/request_id.h>
#include <core/service_id.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace ej::wire {

/// A request to an engine to generate an answer or the rest of one.
struct engine_request {
    core::request_id request;
    core::attempt_number attempt;
    core::service_id model;
    std::string prompt;
    std::uint32_t max_tokens = 0;    ///< Of the whole answer, prefix included; at least 1.
    int priority = 0;                ///< Higher values run first.
    std::string prefix_text;         ///< Text already delivered to the caller.
    std::uint64_t prefix_tokens = 0; ///< Tokens in `prefix_text`.

    friend auto operator<=>(const engine_request&, const engine_request&) = default;
};

/// The body of POST /generate.
[[nodiscard]] std::string to_json(const engine_request& order);

} // namespace ej::wire
