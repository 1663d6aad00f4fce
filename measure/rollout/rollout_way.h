#pragma once

#include <rollout/route_answers.h>

#include <string_view>

namespace ej::measure {

/// A way to find a bad version.
struct rollout_way {
    std::string_view name;
    bool sequential = true; ///< `rollout_judge`; otherwise `is_bad` alone decides.
    bool (*is_bad)(const rollout::answers_by_route&) = nullptr;
};

} // namespace ej::measure
