#pragma once

#include <core/class_id.h>
#include <core/findings.h>

#include <compare>
#include <string>
#include <string_view>

namespace ej::wire {

/// A caller's request to a service that returns one result rather than a token stream.
struct short_request {
    core::class_id work_class;
    std::string path; ///< Begins with '/'.
    std::string body; ///< JSON, forwarded unchanged.

    friend auto operator<=>(const short_request&, const short_request&) = default;
};

/// Parses the body of POST /v1/requests; adds each fault to `faults`.
[[nodiscard]] short_request parse_short_request(std::string_view body, core::findings& faults);

} // namespace ej::wire
