#pragma once

#include <compare>
#include <string>

namespace ej::http {

/// One header field. Names are case-insensitive on the wire.
struct header {
    std::string name;
    std::string value;

    friend auto operator<=>(const header&, const header&) = default;
};

} // namespace ej::http
