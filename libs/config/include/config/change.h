#pragma once

#include <config/action.h>
#include <config/change_id.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// An operator's change of one object.
struct change {
    change_id id;
    core::revision expected; ///< Revision of the object that the operator read; 0: absent.
    action what;

    friend auto operator<=>(const change&, const change&) = default;
};

} // namespace ej::config
