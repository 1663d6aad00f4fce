#pragma once

#include <routing/endpoint_view.h>
#include <routing/request_features.h>

#include <core/instant.h>

namespace ej::routing {

/// Estimated seconds until a request would finish at an endpoint, including expected retries; > 0.
[[nodiscard]] double estimated_finish_seconds(const endpoint_view& view,
                                              const request_features& request, core::instant now);

/// Estimated requests of all daemons at the endpoint: the last load report plus this daemon's
/// requests sent since then, minus those that ended; >= 0.
[[nodiscard]] double occupied_slots(const endpoint_view& view);

/// True if this daemon may send the endpoint another request.
[[nodiscard]] bool has_room(const endpoint_view& view, bool urgent);

} // namespace ej::routing
