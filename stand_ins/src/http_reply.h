#pragma once

#include <compare>
#include <string>

namespace ej::stand_ins {

/// A complete JSON response.
struct http_reply {
    unsigned status = 200;
    std::string body = "{}";
    bool not_run = false; ///< Adds `Not-Run: true`.

    friend auto operator<=>(const http_reply&, const http_reply&) = default;
};

} // namespace ej::stand_ins
