#pragma once

#include <core/instant.h>
#include <core/work_class.h>

#include <compare>

namespace ej::admission {

/// A class with waiting requests, as a candidate for the next request to run.
struct class_candidate {
    core::work_class work_class;
    core::instant latest_start; ///< When its next request has to start to finish in time.

    friend auto operator<=>(const class_candidate&, const class_candidate&) = default;
};

} // namespace ej::admission
