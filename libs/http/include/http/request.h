#pragma once

#include <http/header.h>

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ej::http {

/// A whole request.
struct request {
    std::string method = "GET";
    std::string target = "/";
    std::vector<header> headers;
    std::string body;

    /// The value of the first header called `name`, compared case-insensitively.
    [[nodiscard]] std::optional<std::string> header_value(std::string_view name) const;

    friend auto operator<=>(const request&, const request&) = default;
};

} // namespace ej::http
