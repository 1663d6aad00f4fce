#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace ej::stand_ins {

/// One received HTTP request, percent-decoded; header names are in lower case.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;

    /// Query parameter `name`, or `fallback`.
    [[nodiscard]] std::string parameter(const std::string& name,
                                        const std::string& fallback = {}) const
    {
        const auto found = query.find(name);
        return found == query.end() ? fallback : found->second;
    }

    /// Header `name` (lower case), or empty.
    [[nodiscard]] std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }

    friend auto operator<=>(const http_request&, const http_request&) = default;
};

} // namespace ej::stand_ins
