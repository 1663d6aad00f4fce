#pragma once

#include "notice_kind.h"

#include <core/instant.h>

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace ej::soak {

/// An endpoint's record of a request, written before the answer is sent.
struct endpoint_notice {
    notice_kind kind = notice_kind::arrived;
    std::string endpoint; ///< Name of the incarnation.
    std::string request;
    core::instant at{};
    core::instant until{}; ///< End of the pause that it asked for; `at` for other kinds.

    friend auto operator<=>(const endpoint_notice&, const endpoint_notice&) = default;
};

/// The notice as a line of text without its end.
[[nodiscard]] std::string to_line(const endpoint_notice& notice);

/// Parses what `to_line` wrote; empty for any other text.
[[nodiscard]] std::optional<endpoint_notice> parse_notice(std::string_view line);

} // namespace ej::soak
