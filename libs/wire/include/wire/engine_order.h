#pragma once

#include <core/attempt_number.h>
#include <core/request_id.h>
#include <core/service_id.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace ej::wire {

/// What an engine is asked to generate.
struct engine_order {
    core::request_id request;
    core::attempt_number attempt;
    core::service_id model;
    std::string prompt;
    std::uint32_t max_tokens = 0;    ///< Tokens of the whole answer, the prefix included; from 1.
    int priority = 0;                ///< Higher goes first.
    std::string prefix_text;         ///< Text that is already delivered.
    std::uint64_t prefix_tokens = 0; ///< Tokens in `prefix_text`.

    friend auto operator<=>(const engine_order&, const engine_order&) = default;
};

/// The body of POST /generate.
[[nodiscard]] std::string to_json(const engine_order& order);

} // namespace ej::wire
