#pragma once

#include "connection_end.h"
#include "connection_summary.h"

#include <core/instant.h>

namespace ej::front {

/// Logs the end of a caller's connection: at level info if the caller may still expect an answer,
/// otherwise at level debug.
void log_connection_end(connection_end end, const connection_summary& ended);

/// Logs that a request arrived after its connection had been closed for `end`, `idle` after the
/// previous one was answered; `limit` is the idle limit now.
void log_crossing(connection_end end, core::duration idle, core::duration limit);

} // namespace ej::front
