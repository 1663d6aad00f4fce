#pragma once

namespace ej::routing {

/// How a request at an endpoint ended.
enum class outcome_kind {
    finished,
    failed,   ///< The endpoint answered with an error or the connection broke.
    cancelled ///< Ended by the caller; does not count for or against the endpoint.
};

} // namespace ej::routing
