#pragma once

#include <rollout/answer_measure.h>

#include <core/instant.h>
#include <core/service_id.h>
#include <core/version_id.h>

#include <compare>
#include <string>

namespace ej::rollout {

/// An answer of an endpoint, or the part of it that is known.
struct measured_answer {
    core::service_id service;
    core::version_id version;
    std::string route;
    answer_measure measure = answer_measure::whole;
    core::duration took{}; ///< From the send; not used for a failure.

    friend auto operator<=>(const measured_answer&, const measured_answer&) = default;
};

} // namespace ej::rollout
