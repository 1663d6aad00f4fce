#pragma once

#include <compare>
#include <memory>
#include <string>

namespace ej::front {

/// A request as sent to an endpoint. All sends of a request share its body.
struct outgoing_message {
    std::string head; ///< Includes the empty line.
    std::shared_ptr<const std::string> body;

    friend auto operator<=>(const outgoing_message&, const outgoing_message&) = default;
};

} // namespace ej::front
