#pragma once

#include <config/member.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// The configuration revision that a member last reported.
struct member_revision {
    member who;
    core::revision in_force; ///< 0: not reported yet.

    friend auto operator<=>(const member_revision&, const member_revision&) = default;
};

} // namespace ej::config
