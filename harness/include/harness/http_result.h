#pragma once

#include <compare>
#include <string>

namespace ej::harness {

/// A complete HTTP response.
struct http_result {
    unsigned status = 0;
    std::string body;

    friend auto operator<=>(const http_result&, const http_result&) = default;
};

} // namespace ej::harness
