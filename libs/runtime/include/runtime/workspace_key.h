#pragma once

#include <core/workspace_id.h>

#include <compare>
#include <string>

namespace ej::runtime {

/// The key with which callers authenticate as a workspace.
struct workspace_key {
    core::workspace_id workspace;
    std::string key; ///< Not empty.

    friend auto operator<=>(const workspace_key&, const workspace_key&) = default;
};

} // namespace ej::runtime
