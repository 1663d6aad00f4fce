#pragma once

namespace ej::generation {

/// What the caller of the decision has to carry out.
enum class effect_kind {
    place,   ///< Choose an engine, not `endpoint` if another is to be had.
    open,    ///< Start the attempt at `offset` with the delivered text as prefix.
    attach,  ///< Connect anew to the attempt that runs on `endpoint`, from `offset`.
    check,   ///< Ask `endpoint` over a new connection whether it has the attempt.
    close,   ///< Drop the current connection.
    cancel,  ///< Cancel the attempt on `endpoint`; no answer is needed.
    deliver, ///< Send `tokens`, which begin at `offset`, to the caller.
    finish,  ///< Tell the caller that the answer is whole; `offset` is the total.
    fail     ///< Tell the caller that it cannot be made whole.
};

inline constexpr int effect_kind_count = 9;

} // namespace ej::generation
