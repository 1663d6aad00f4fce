#pragma once

#include <fleet/step_kind.h>

#include <chrono>
#include <compare>
#include <string>

namespace ej::fleet {

/// One step of a scripted answer.
struct step {
    step_kind kind = step_kind::send;
    std::string text;                 ///< Bytes to send, for `send`.
    std::chrono::milliseconds time{}; ///< Duration, for `wait`, `vanish` and `crash`.

    friend auto operator<=>(const step&, const step&) = default;
};

} // namespace ej::fleet
