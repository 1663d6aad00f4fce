#pragma once

#include <config/configuration.h>
#include <config/stored_change_log.h>

namespace ej::config {

/// A change submitted at this daemon was accepted: the resulting configuration and stored log.
struct change_accepted {
    configuration made;
    stored_change_log stored;

    friend bool operator==(const change_accepted&, const change_accepted&) = default;
};

} // namespace ej::config
