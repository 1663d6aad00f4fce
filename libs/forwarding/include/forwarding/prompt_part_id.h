#pragma once

#include <core/number_hash.h>

namespace ej::forwarding {

/// Identifies a part of a prompt; requests that share the part name it alike.
using prompt_part_id = core::number<struct prompt_part_tag>;

} // namespace ej::forwarding
