#pragma once

#include <core/number_hash.h>

namespace ej::actions {

/// Sequence number of a ticket at the daemon incarnation that issued it; from 1.
using ticket_number = core::number<struct ticket_number_tag>;

} // namespace ej::actions
