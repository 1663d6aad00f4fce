#pragma once

namespace ej::generation {

/// Effects that the caller of `rules` performs.
enum class effect_kind {
    place,   ///< Choose an engine, other than `endpoint` if one is available.
    open,    ///< Start the attempt at `offset`, with the delivered text as prefix.
    attach,  ///< Reconnect to the attempt that runs on `endpoint`, from `offset`.
    check,   ///< Query `endpoint` over a new connection whether it still has the attempt.
    close,   ///< Close the current connection.
    cancel,  ///< Cancel the attempt on `endpoint` without waiting for the answer.
    deliver, ///< Send `tokens`, starting at `offset`, to the caller.
    finish,  ///< End the answer as complete; `offset` is the total number of tokens.
    fail     ///< End the answer as failed; it cannot be completed.
};

inline constexpr int effect_kind_count = 9;

} // namespace ej::generation
