#pragma once

#include <compare>

namespace ej::config {

/// Read the snapshot from the platform's service.
struct read_base {
    friend auto operator<=>(const read_base&, const read_base&) = default;
};

} // namespace ej::config
