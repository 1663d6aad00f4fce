#pragma once

#include <forwarding/prompt_part.h>

#include <compare>
#include <cstddef>
#include <vector>

namespace ej::front {

/// The parts of a prompt that a caller declared, as far as they were read.
struct prompt_part_list {
    std::vector<forwarding::prompt_part> parts; ///< In order.
    std::size_t unread = 0;                     ///< Entries that are malformed or exceed the limit.
    bool last_unread = false;                   ///< The last entry is one of them.

    friend auto operator<=>(const prompt_part_list&, const prompt_part_list&) = default;
};

} // namespace ej::front
