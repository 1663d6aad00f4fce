#pragma once

#include "framed_event.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ej::front {

/// Cuts a stream into whole events; a part of an event waits for the rest.
class event_framer {
public:
    /// Longest event that is kept while it is incomplete.
    static constexpr std::size_t max_event_bytes = std::size_t{1} << 20;

    /// The events that `part` completes.
    [[nodiscard]] std::vector<framed_event> feed(std::string_view part);

    /// True if an event has begun and is incomplete.
    [[nodiscard]] bool within_event() const { return !pending_.empty(); }

    /// True if an event is longer than it may be.
    [[nodiscard]] bool overflowed() const { return pending_.size() > max_event_bytes; }

private:
    std::string pending_;
};

} // namespace ej::front
