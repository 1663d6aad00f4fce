#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace ej::front {

/// One event of a stream (text/event-stream), including the empty line that ends it.
struct framed_event {
    std::optional<std::uint64_t> id;
    std::string text;

    friend auto operator<=>(const framed_event&, const framed_event&) = default;
};

} // namespace ej::front
