#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ej::actions {

/// The application's response.
struct action_result {
    std::uint16_t status = 0; ///< HTTP status; 100 to 599.
    std::string content_type;
    std::string body;

    friend auto operator<=>(const action_result&, const action_result&) = default;
};

} // namespace ej::actions
