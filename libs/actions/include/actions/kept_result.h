#pragma once

#include <actions/action_id.h>

#include <compare>
#include <cstddef>

namespace ej::actions {

/// A result that takes memory.
struct kept_result {
    action_id action;
    std::size_t bytes = 0;

    friend auto operator<=>(const kept_result&, const kept_result&) = default;
};

} // namespace ej::actions
