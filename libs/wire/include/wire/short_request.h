#pragma once

#include <core/class_id.h>
#include <core/findings.h>

#include <compare>
#include <string>
#include <string_view>

namespace ej::wire {

/// A caller's wish for a call to a plain service.
struct short_request {
    core::class_id work_class;
    std::string path; ///< Begins with '/'.
    std::string body; ///< JSON, handed on as it is.

    friend auto operator<=>(const short_request&, const short_request&) = default;
};

/// Reads the body of POST /v1/requests; faults go to `faults`.
[[nodiscard]] short_request parse_short_request(std::string_view body, core::findings& faults);

} // namespace ej::wire
