#pragma once

#include <forwarding/prompt_part_id.h>

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// One part of a prompt, as declared by the caller.
struct prompt_part {
    prompt_part_id id;
    std::uint64_t tokens = 0;

    friend auto operator<=>(const prompt_part&, const prompt_part&) = default;
};

} // namespace ej::forwarding
