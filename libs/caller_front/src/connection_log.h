#pragma once

#include "connection_end.h"
#include "connection_summary.h"

namespace ej::front {

/// Logs the end of a caller's connection: at level info if the caller may still expect an answer,
/// otherwise at level debug.
void log_connection_end(connection_end end, const connection_summary& ended);

} // namespace ej::front
