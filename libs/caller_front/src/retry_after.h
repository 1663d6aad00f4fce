#pragma once

#include <http/header.h>

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <optional>
#include <span>
#include <string_view>

namespace ej::front {

/// The delay that an answer asks for with Retry-After.
struct retry_after {
    /// Longer delays are cut to this one.
    static constexpr std::chrono::hours longest{1};

    core::duration delay{}; ///< > 0, at most `longest`.

    friend auto operator<=>(const retry_after&, const retry_after&) = default;
};

/// Parses a number of seconds, which may have a fraction: "2", "0.25". Empty for zero and for any
/// other text.
[[nodiscard]] std::optional<retry_after> parse_retry_after(std::string_view seconds);

/// The longest delay that the fields `name` among `fields` ask for; empty if none does.
[[nodiscard]] std::optional<retry_after> retry_after_of(std::span<const http::header> fields,
                                                        std::string_view name);

} // namespace ej::front
