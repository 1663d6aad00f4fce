#pragma once

#include <platform/kv_entry.h>

#include <compare>
#include <string>

namespace ej::platform {

/// An entry found by a prefix of its key.
struct named_entry {
    std::string key;
    kv_entry entry;

    friend auto operator<=>(const named_entry&, const named_entry&) = default;
};

} // namespace ej::platform
