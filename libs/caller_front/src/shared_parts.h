#pragma once

#include "prompt_part_list.h"

#include <suspects/part_digest.h>

#include <vector>

namespace ej::front {

/// The parts of a prompt that other requests may share: all but its last one, sorted and without
/// duplicates.
[[nodiscard]] std::vector<suspects::part_digest> shared_parts_of(const prompt_part_list& listed);

} // namespace ej::front
