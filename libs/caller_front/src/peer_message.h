#pragma once

#include <forwarding/load_message.h>
#include <suspects/death_record.h>

#include <variant>

namespace ej::front {

/// What a datagram between daemons holds.
using peer_message = std::variant<forwarding::load_message, suspects::death_record>;

} // namespace ej::front
