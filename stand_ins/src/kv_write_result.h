#pragma once

#include <compare>
#include <cstdint>

namespace ej::stand_ins {

/// Outcome of a compare-and-swap.
struct kv_write_result {
    bool accepted = false;
    std::uint64_t revision =
        0; ///< Of the write if accepted, else the current one; 0 for an absent key.

    friend auto operator<=>(const kv_write_result&, const kv_write_result&) = default;
};

} // namespace ej::stand_ins
