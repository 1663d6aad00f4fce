#pragma once

#include <core/instant.h>
#include <core/revision.h>

#include <compare>
#include <string>

namespace ej::front {

/// How a call ended.
struct call_end {
    std::string outcome;
    unsigned status = 0;
    bool cut = false; ///< The answer had begun and its connection was closed before its end.
    std::string last_failure;     ///< Detail of the last attempt that failed; empty if none did.
    bool endpoint_listed = false; ///< The last endpoint was still registered and not leaving.
    core::revision rules_at_start;
    core::revision rules_at_end;
    core::duration took{};
    core::duration time_left{}; ///< Until the call's deadline.

    friend auto operator<=>(const call_end&, const call_end&) = default;
};

} // namespace ej::front
