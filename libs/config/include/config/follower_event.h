#pragma once

#include <config/change_accepted.h>
#include <config/members_changed.h>
#include <config/peer_message_received.h>
#include <config/stored_snapshot.h>
#include <config/tick.h>
#include <config/watch_answered.h>
#include <config/watch_failed.h>

#include <variant>

namespace ej::config {

/// An input that the driver passes to `config_follower`.
using follower_event = std::variant<members_changed, watch_answered, watch_failed, stored_snapshot,
                                    peer_message_received, change_accepted, tick>;

} // namespace ej::config
