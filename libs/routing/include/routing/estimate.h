#pragma once

#include <routing/endpoint_view.h>
#include <routing/request_features.h>

#include <core/instant.h>

namespace ej::routing {

/// Seconds until a request would finish at an endpoint, failures counted as further tries; > 0.
[[nodiscard]] double estimated_finish_seconds(const endpoint_view& view,
                                              const request_features& request, core::instant now);

/// Requests of all daemons at the endpoint: the last report, corrected by what this daemon sent and
/// saw end since then; >= 0.
[[nodiscard]] double occupied_slots(const endpoint_view& view);

/// True if this daemon may send the endpoint another request.
[[nodiscard]] bool has_room(const endpoint_view& view, bool urgent);

} // namespace ej::routing
