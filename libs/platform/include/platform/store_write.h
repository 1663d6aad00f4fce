#pragma once

#include <platform/lease_id.h>

#include <core/revision.h>

#include <compare>
#include <optional>
#include <string>

namespace ej::platform {

/// A write or removal of a key.
struct store_write {
    std::string key;
    std::optional<std::string> value; ///< Unset: the key is removed.
    lease_id lease;                   ///< Empty: the key stays until it is removed.
    std::optional<core::revision>
        if_revision; ///< Condition: the key has this revision; 0: the key is absent.

    friend auto operator<=>(const store_write&, const store_write&) = default;
};

} // namespace ej::platform
