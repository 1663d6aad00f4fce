#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ej::front {

/// Entry of the store for a part that is held back.
struct stored_hold {
    std::uint32_t trials = 0; ///< The value of the entry.
    core::instant seen{};     ///< When it was first read or written here.

    friend auto operator<=>(const stored_hold&, const stored_hold&) = default;
};

/// The value of the entry as text: "LAYOUT TRIALS".
[[nodiscard]] std::string stored_hold_text(std::uint32_t trials);

/// Parses the output of `stored_hold_text`; empty for any other text and for other layouts.
[[nodiscard]] std::optional<std::uint32_t> parse_stored_hold(std::string_view text);

} // namespace ej::front
