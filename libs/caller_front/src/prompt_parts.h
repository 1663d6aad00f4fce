#pragma once

#include "caller_request.h"
#include "prompt_part_list.h"

#include <caller_front/header_names.h>

#include <cstddef>

namespace ej::front {

/// Number of parts that are read: each costs a look-up per attempt and room in the messages between
/// daemons.
inline constexpr std::size_t max_prompt_parts = 64;

/// The parts of the request's prompt, as declared by the caller. Malformed entries are left out.
[[nodiscard]] prompt_part_list prompt_parts_of(const caller_request& incoming,
                                               const header_names& names);

} // namespace ej::front
