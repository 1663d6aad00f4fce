#pragma once

#include <operator_api/operator_response.h>

#include <config/submission_result.h>

namespace ej::operator_api {

/// The response to a submitted change: 200 accepted, 409 conflict, 422 invalid, 503 not made, 504
/// outcome unknown.
[[nodiscard]] operator_response submission_response(const config::submission_result& result);

} // namespace ej::operator_api
