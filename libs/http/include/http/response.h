#pragma once

#include <http/header.h>

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ej::http {

/// A whole response.
struct response {
    unsigned status = 200;
    std::vector<header> headers;
    std::string body;

    /// The value of the first header called `name`, compared case-insensitively.
    [[nodiscard]] std::optional<std::string> header_value(std::string_view name) const;

    friend auto operator<=>(const response&, const response&) = default;
};

} // namespace ej::http
