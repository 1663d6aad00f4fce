#pragma once

#include <platform/store_item.h>

#include <core/revision.h>

#include <compare>
#include <vector>

namespace ej::platform {

/// A part of the keys with one prefix, or what changed among them.
struct store_listing {
    std::vector<store_item> items;
    core::revision as_of; ///< Of the whole store; later changes are not in here.
    bool more = false;    ///< Further items follow behind the last key.

    friend auto operator<=>(const store_listing&, const store_listing&) = default;
};

} // namespace ej::platform
