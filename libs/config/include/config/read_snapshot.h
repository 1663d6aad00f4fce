#pragma once

#include <compare>

namespace ej::config {

/// Read the snapshot from the platform's service.
struct read_snapshot {
    friend auto operator<=>(const read_snapshot&, const read_snapshot&) = default;
};

} // namespace ej::config
