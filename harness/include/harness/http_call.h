#pragma once

#include <compare>
#include <map>
#include <string>

namespace ej::harness {

/// An HTTP request that a test sends.
struct http_call {
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;

    friend auto operator<=>(const http_call&, const http_call&) = default;
};

} // namespace ej::harness
