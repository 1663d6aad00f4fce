#pragma once

#include <core/attempt_number.h>
#include <core/request_id.h>
#include <core/token_offset.h>

#include <compare>
#include <string>

namespace ej::wire {

/// A token position in an attempt that runs on an engine.
struct engine_position {
    core::request_id request;
    core::attempt_number attempt;
    core::token_offset offset;

    friend auto operator<=>(const engine_position&, const engine_position&) = default;
};

/// The body of POST /attach and POST /cancel.
[[nodiscard]] std::string to_json(const engine_position& position);

} // namespace ej::wire
