#pragma once

#include <core/revision.h>

#include <compare>
#include <optional>
#include <string>

namespace ej::platform {

/// A key of the store as it was last written, or its removal.
struct store_item {
    std::string key;
    std::optional<std::string> value; ///< Unset: removed.
    core::revision revision;          ///< Of the write or removal.

    friend auto operator<=>(const store_item&, const store_item&) = default;
};

} // namespace ej::platform
