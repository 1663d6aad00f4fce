#pragma once

#include <core/instant.h>
#include <core/work_class.h>

#include <compare>

namespace ej::admission {

/// A class with requests that wait, as the order among classes sees it.
struct class_candidate {
    core::work_class work_class;
    core::instant latest_start; ///< When its next request has to start to finish in time.

    friend auto operator<=>(const class_candidate&, const class_candidate&) = default;
};

} // namespace ej::admission
