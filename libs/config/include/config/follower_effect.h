#pragma once

#include <config/apply_configuration.h>
#include <config/read_snapshot.h>
#include <config/send_to_peer.h>
#include <config/watch_change_log.h>

#include <variant>

namespace ej::config {

/// An action that `config_follower` requests from its driver.
using follower_effect =
    std::variant<watch_change_log, read_snapshot, apply_configuration, send_to_peer>;

} // namespace ej::config
