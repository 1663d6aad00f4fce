#pragma once

#include <config/apply_configuration.h>
#include <config/read_base.h>
#include <config/send_to_peer.h>
#include <config/watch_tail.h>

#include <variant>

namespace ej::config {

/// An action that `config_follower` requests from its driver.
using follower_effect = std::variant<watch_tail, read_base, apply_configuration, send_to_peer>;

} // namespace ej::config
