#pragma once

#include <config/change_log.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// The log of changes as stored in the platform's service.
struct stored_change_log {
    core::revision key_revision; ///< For compare-and-swap; 0: absent.
    change_log log;

    friend auto operator<=>(const stored_change_log&, const stored_change_log&) = default;
};

} // namespace ej::config
