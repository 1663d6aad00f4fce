#pragma once

#include <compare>
#include <string>

namespace ej::commands {

/// A daemon's answer to an operator.
struct operator_reply {
    unsigned status = 0; ///< HTTP status; 0: none came, and the request may have had effect.
    std::string body;    ///< JSON, or the reason when none came.

    friend auto operator<=>(const operator_reply&, const operator_reply&) = default;
};

} // namespace ej::commands
