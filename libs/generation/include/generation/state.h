#pragma once

#include <generation/phase.h>

#include <core/attempt_number.h>
#include <core/digest.h>
#include <core/endpoint_id.h>
#include <core/token_offset.h>

#include <compare>
#include <cstdint>

namespace ej::generation {

/// State of one generation. Immutable value: each event yields a new one.
struct state {
    generation::phase phase = generation::phase::placing;
    core::attempt_number attempt{1}; ///< Current attempt; events of other attempts are dropped.
    core::token_offset next;         ///< Offset of the first token not yet delivered.
    core::digest text;               ///< Digest of the delivered text.
    core::endpoint_id endpoint;      ///< Engine that runs the attempt; empty while placing.
    std::uint32_t losses = 0;        ///< Engines lost while they ran the generation.
    std::uint32_t restarts = 0;      ///< Attempts given up for any reason.
    std::uint32_t reattachments = 0; ///< Reattachments since the last token.
    std::uint32_t silences = 0; ///< Silences since the last token in which the engine was alive.
    /// While checking: the phase to return to if the connection turns out to be usable; `checking`
    /// if there is no connection.
    generation::phase phase_before_check = generation::phase::checking;

    friend auto operator<=>(const state&, const state&) = default;
};

} // namespace ej::generation
