#pragma once

#include <compare>
#include <string>

namespace ej::http {

/// One header field. Names compare without regard to case on the wire.
struct header {
    std::string name;
    std::string value;

    friend auto operator<=>(const header&, const header&) = default;
};

} // namespace ej::http
