#pragma once

#include <config/member.h>

#include <compare>
#include <vector>

namespace ej::config {

/// The list of live daemons has changed; `members` is the new list, in any order.
struct members_changed {
    std::vector<member> members;

    friend auto operator<=>(const members_changed&, const members_changed&) = default;
};

} // namespace ej::config
