#pragma once

#include <core/number_hash.h>

namespace ej::actions {

/// Counts the tickets that one daemon incarnation issued; from 1.
using ticket_number = core::number<struct ticket_number_tag>;

} // namespace ej::actions
