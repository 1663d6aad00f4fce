#pragma once

#include "change_signal.h"
#include "kv_version.h"

#include <memory>
#include <vector>

namespace ej::stand_ins {

/// The latest versions of a key, oldest first, and the signal that wakes its watchers.
struct kv_entry {
    std::vector<kv_version> versions;
    std::shared_ptr<change_signal> changed = std::make_shared<change_signal>();

    /// The latest version.
    [[nodiscard]] kv_version current() const
    {
        return versions.empty() ? kv_version{} : versions.back();
    }
};

} // namespace ej::stand_ins
