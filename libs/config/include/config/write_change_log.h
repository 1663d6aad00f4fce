#pragma once

#include <config/change_log.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// Replace the log if its key still has the revision `if_revision`.
struct write_change_log {
    core::revision if_revision; ///< 0: must be absent.
    change_log log;

    friend auto operator<=>(const write_change_log&, const write_change_log&) = default;
};

} // namespace ej::config
