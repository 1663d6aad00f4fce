#pragma once

#include <config/configuration.h>

#include <core/revision.h>

namespace ej::config {

/// The snapshot as stored in the platform's service.
struct stored_snapshot {
    core::revision key_revision; ///< For compare-and-swap; 0: absent.
    configuration snapshot;

    friend bool operator==(const stored_snapshot&, const stored_snapshot&) = default;
};

} // namespace ej::config
