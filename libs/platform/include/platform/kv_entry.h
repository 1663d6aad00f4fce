#pragma once

#include <core/revision.h>

#include <compare>
#include <string>

namespace ej::platform {

/// A key's value and the revision of its last write.
struct kv_entry {
    std::string value;
    core::revision revision; ///< 0: the key is absent.

    friend auto operator<=>(const kv_entry&, const kv_entry&) = default;
};

} // namespace ej::platform
