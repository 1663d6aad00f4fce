#pragma once

#include <core/refusal_reason.h>

#include <compare>
#include <cstdint>

namespace ej::operator_api {

/// Requests refused for one reason since the daemon's start.
struct refusal_count {
    core::refusal_reason reason = core::refusal_reason::malformed;
    std::uint64_t count = 0;

    friend auto operator<=>(const refusal_count&, const refusal_count&) = default;
};

} // namespace ej::operator_api
