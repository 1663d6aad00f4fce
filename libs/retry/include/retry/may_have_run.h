#pragma once

#include <compare>

namespace ej::retry {

/// An attempt without an answer: it may have run, in part or whole.
struct may_have_run {
    double work_done = 0; ///< Tokens delivered before the loss, which a resume keeps; >= 0.

    friend auto operator<=>(const may_have_run&, const may_have_run&) = default;
};

} // namespace ej::retry
