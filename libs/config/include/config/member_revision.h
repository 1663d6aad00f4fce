#pragma once

#include <config/member.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// What a member last told of its configuration.
struct member_revision {
    member who;
    core::revision in_force; ///< 0: nothing was heard of it yet.

    friend auto operator<=>(const member_revision&, const member_revision&) = default;
};

} // namespace ej::config
