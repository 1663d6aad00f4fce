#pragma once

#include <generation/event_kind.h>

#include <core/attempt_number.h>
#include <core/digest.h>
#include <core/endpoint_id.h>
#include <core/token_offset.h>

#include <compare>
#include <string>
#include <vector>

namespace ej::generation {

/// One event of a generation. Fields that its kind does not use stay empty.
struct event {
    event_kind kind = event_kind::closed;
    core::attempt_number attempt; ///< The attempt that the event belongs to.
    core::token_offset offset; ///< opened, tokens: first token's offset; finished: total of tokens;
                               ///< alive: tokens generated so far.
    core::digest digest;       ///< opened: digest of the engine's text before `offset`.
    core::endpoint_id endpoint;      ///< placed.
    std::vector<std::string> tokens; ///< tokens.

    friend auto operator<=>(const event&, const event&) = default;
};

} // namespace ej::generation
