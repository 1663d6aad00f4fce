#pragma once

#include <fleet/step_kind.h>

#include <chrono>
#include <compare>
#include <string>

namespace ej::fleet {

/// One step of an endpoint's answer.
struct step {
    step_kind kind = step_kind::send;
    std::string text;                 ///< To send.
    std::chrono::milliseconds time{}; ///< To wait.

    friend auto operator<=>(const step&, const step&) = default;
};

} // namespace ej::fleet
