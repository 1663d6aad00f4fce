#pragma once

namespace ej::peer_wire {

/// What a message between daemons carries. The numbers are part of the protocol; a number that has
/// been used is not given to another kind.
enum class message_kind {
    membership_delta = 1,
    membership_digest = 2,
    config_digest = 3,
    config_delta = 4,
    action_forward = 5,
    action_answer = 6,
    death_record = 7
};

} // namespace ej::peer_wire
