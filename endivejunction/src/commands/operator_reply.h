#pragma once

#include <compare>
#include <string>

namespace ej::commands {

/// A daemon's answer to an operator.
struct operator_reply {
    unsigned status = 0; ///< HTTP status; 0: no reply, and the request may have taken effect.
    std::string body;    ///< JSON, or the error text when there was no reply.

    friend auto operator<=>(const operator_reply&, const operator_reply&) = default;
};

} // namespace ej::commands
