#pragma once

#include "caller_request.h"

#include <caller_front/header_names.h>

#include <suspects/part_digest.h>

#include <vector>

namespace ej::front {

/// The parts of the request's prompt that other requests may share: all but the last, sorted and
/// without duplicates.
[[nodiscard]] std::vector<suspects::part_digest> shared_parts_of(const caller_request& incoming,
                                                                 const header_names& names);

} // namespace ej::front
