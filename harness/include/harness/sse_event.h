#pragma once

#include <compare>
#include <string>

namespace ej::harness {

/// One server-sent event.
struct sse_event {
    std::string name;
    std::string id;
    std::string data;

    friend auto operator<=>(const sse_event&, const sse_event&) = default;
};

} // namespace ej::harness
