#pragma once

#include <platform/store_item.h>

#include <core/revision.h>

#include <compare>
#include <vector>

namespace ej::platform {

/// A page of the keys with one prefix, or the changes to such keys.
struct store_listing {
    std::vector<store_item> items;
    core::revision as_of; ///< Revision of the whole store; later changes are not included.
    bool more = false;    ///< Further items follow after the last key.

    friend auto operator<=>(const store_listing&, const store_listing&) = default;
};

} // namespace ej::platform
