#pragma once

#include <actions/kept_result.h>

#include <compare>
#include <cstddef>
#include <deque>

namespace ej::actions {

/// Retained results in order of arrival, with their total size.
struct result_queue {
    std::deque<kept_result> kept;
    std::size_t bytes = 0;

    friend auto operator<=>(const result_queue&, const result_queue&) = default;
};

} // namespace ej::actions
