#pragma once

#include <compare>

namespace ej::retry {

/// An attempt without a response that may have run, partly or completely.
struct may_have_run {
    double work_done = 0; ///< Tokens delivered before the failure, kept on a resume; >= 0.

    friend auto operator<=>(const may_have_run&, const may_have_run&) = default;
};

} // namespace ej::retry
