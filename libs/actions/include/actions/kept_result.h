#pragma once

#include <actions/action_id.h>

#include <compare>
#include <cstddef>

namespace ej::actions {

/// A retained result and its size.
struct kept_result {
    action_id action;
    std::size_t bytes = 0;

    friend auto operator<=>(const kept_result&, const kept_result&) = default;
};

} // namespace ej::actions
