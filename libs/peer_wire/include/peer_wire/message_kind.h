#pragma once

namespace ej::peer_wire {

/// The payload type of a message between daemons. The numbers are part of the protocol; the number
/// of a removed kind must not be reused.
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
