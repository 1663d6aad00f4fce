#pragma once

#include <config/tail.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// Replace the log if its key still has the revision `if_revision`.
struct write_tail {
    core::revision if_revision; ///< 0: must be absent.
    tail log;

    friend auto operator<=>(const write_tail&, const write_tail&) = default;
};

} // namespace ej::config
