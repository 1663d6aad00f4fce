#pragma once

#include <routing/endpoint_view.h>
#include <routing/load_report.h>
#include <routing/outcome.h>
#include <routing/request_features.h>

#include <limits/daemon_share.h>
#include <limits/limiter.h>

#include <core/endpoint.h>

namespace ej::routing {

/// The view of a new endpoint, or of one that restarted with another incarnation.
[[nodiscard]] endpoint_view new_view(const core::endpoint& endpoint, const limits::limiter& limiter,
                                     const limits::daemon_share& share, core::instant now);

/// `view` after a load report.
[[nodiscard]] endpoint_view with_report(endpoint_view view, const load_report& report,
                                        const limits::limiter& limiter,
                                        const limits::daemon_share& share);

/// `view` after a request was sent.
[[nodiscard]] endpoint_view with_sent(endpoint_view view, bool urgent);

/// `view` after a request ended. The endpoint is ejected for a while if it fails most requests.
[[nodiscard]] endpoint_view with_outcome(endpoint_view view, const outcome& outcome, bool urgent,
                                         core::instant now);

/// `view` after its ejection has ended; one request at a time may try the endpoint.
[[nodiscard]] endpoint_view unblocked(endpoint_view view);

} // namespace ej::routing
