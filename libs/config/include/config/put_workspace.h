#pragma once

#include <config/workspace.h>

#include <compare>

namespace ej::config {

/// Creates a workspace or replaces all its fields.
struct put_workspace {
    workspace value;

    friend auto operator<=>(const put_workspace&, const put_workspace&) = default;
};

} // namespace ej::config
