#pragma once

#include "framed_event.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ej::front {

/// Splits a stream into complete events; an incomplete event is buffered.
class event_framer {
public:
    /// Limit for a buffered incomplete event.
    static constexpr std::size_t max_event_bytes = std::size_t{1} << 20;

    /// The events that `part` completes.
    [[nodiscard]] std::vector<framed_event> feed(std::string_view part);

    /// True if an event has begun and is incomplete.
    [[nodiscard]] bool within_event() const { return !pending_.empty(); }

    /// Bytes of the incomplete event.
    [[nodiscard]] std::size_t buffered() const { return pending_.size(); }

    /// True if an event exceeds `max_event_bytes`.
    [[nodiscard]] bool overflowed() const { return pending_.size() > max_event_bytes; }

private:
    std::string pending_;
};

} // namespace ej::front
