#pragma once

#include <core/endpoint_id.h>
#include <core/incarnation_id.h>

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string_view>

namespace ej::wire {

/// An endpoint's response to `GET /load`.
struct load_response {
    core::endpoint_id endpoint;
    core::incarnation_id incarnation;
    bool leaving = false; ///< True: the endpoint accepts no new work.
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double tokens_per_second = 0; ///< 0: unknown.

    friend auto operator<=>(const load_response&, const load_response&) = default;
};

/// Parses a response; ignores unknown fields. Error: InvalidArgument when the endpoint or the
/// incarnation is missing.
[[nodiscard]] absl::StatusOr<load_response> parse_load_response(std::string_view text);

} // namespace ej::wire
