#pragma once

#include "clock.h"

#include <core/instant.h>
#include <suspects/request_death.h>
#include <suspects/request_digest.h>

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ej::front {

/// Entry of the store for a request that crashes endpoints.
struct stored_suspect {
    std::vector<suspects::request_death> deaths; ///< The value of the entry; sorted.
    core::instant seen{};                        ///< When it was last read or written here.

    friend auto operator<=>(const stored_suspect&, const stored_suspect&) = default;
};

/// The value of the entry as text: the layout in the first line, then "KIND TIME INCARNATION
/// ENDPOINT" for each death, with TIME in Unix milliseconds. Has no more than `max_stored_deaths`.
/// Clocks of daemons may differ by seconds, while deaths count for minutes.
[[nodiscard]] std::string stored_suspect_text(const std::vector<suspects::request_death>& deaths,
                                              unix_time now);

/// Enough to refuse a request, whatever their kinds.
inline constexpr std::size_t max_stored_deaths = 8;

/// Parses the output of `stored_suspect_text`; empty for any other text and for other layouts.
[[nodiscard]] std::optional<std::vector<suspects::request_death>>
parse_stored_suspect(std::string_view text, unix_time now);

} // namespace ej::front
