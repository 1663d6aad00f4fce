#pragma once

#include "caller_request.h"

#include <caller_front/header_names.h>

#include <forwarding/prompt_part.h>

#include <cstddef>
#include <vector>

namespace ej::front {

/// A longer list of parts is not read: each part costs a look-up per attempt and room in the
/// messages between daemons.
inline constexpr std::size_t max_prompt_parts = 64;

/// The parts of the request's prompt in order, as declared by the caller; none if the list is
/// absent, malformed or longer than `max_prompt_parts`.
[[nodiscard]] std::vector<forwarding::prompt_part> prompt_parts_of(const caller_request& incoming,
                                                                   const header_names& names);

} // namespace ej::front
