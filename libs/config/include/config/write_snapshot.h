#pragma once

#include <config/configuration.h>

#include <core/revision.h>

namespace ej::config {

/// Replace the snapshot if its key still has the revision `if_revision`.
struct write_snapshot {
    core::revision if_revision; ///< 0: must be absent.
    configuration snapshot;

    friend bool operator==(const write_snapshot&, const write_snapshot&) = default;
};

} // namespace ej::config
