#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ej::stand_ins {

/// One version of a key. Revision 0: the key was never written.
struct kv_version {
    std::uint64_t revision = 0;
    std::string value;
    std::string lease; ///< Empty: the key is not bound to a lease.
    bool absent = true;

    friend auto operator<=>(const kv_version&, const kv_version&) = default;
};

} // namespace ej::stand_ins
