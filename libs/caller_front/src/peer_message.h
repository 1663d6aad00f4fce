#pragma once

#include "store_update.h"

#include <forwarding/load_message.h>
#include <suspects/cleared_request.h>
#include <suspects/death_record.h>

#include <variant>

namespace ej::front {

/// Content of a datagram between daemons.
using peer_message = std::variant<forwarding::load_message, suspects::death_record,
                                  suspects::cleared_request, store_update>;

} // namespace ej::front
