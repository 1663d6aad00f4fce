#pragma once

#include "front_context.h"

#include <forwarding/leaving_evidence.h>

#include <string>

namespace ej::front {

/// Records that an endpoint leaves, so that no lane of this daemon sends to it any more, and
/// reports the first evidence.
void record_leaving(front_context& context, const forwarding::leaving_evidence& seen,
                    const std::string& request = {});

/// Logs and counts that an endpoint begins to leave. If an answer said so, that of `request`, the
/// other daemons of the failure domain are told.
void report_leaving(front_context& context, const forwarding::leaving_evidence& seen,
                    const std::string& request = {});

} // namespace ej::front
