#pragma once

#include <core/workspace_id.h>

#include <compare>

namespace ej::config {

/// Deletes a workspace.
struct delete_workspace {
    core::workspace_id name;

    friend auto operator<=>(const delete_workspace&, const delete_workspace&) = default;
};

} // namespace ej::config
