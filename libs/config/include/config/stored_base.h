#pragma once

#include <config/configuration.h>

#include <core/revision.h>

namespace ej::config {

/// The snapshot as stored in the platform's service.
struct stored_base {
    core::revision key_revision; ///< For compare-and-swap; 0: absent.
    configuration snapshot;

    friend bool operator==(const stored_base&, const stored_base&) = default;
};

} // namespace ej::config
