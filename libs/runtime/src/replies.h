#pragma once

#include <core/refusal_reason.h>
#include <http/response.h>

#include <absl/status/status.h>

#include <string_view>

namespace ej::runtime {

/// A refusal: the request did not run.
[[nodiscard]] http::response refusal(core::refusal_reason reason, std::string_view detail = {});

/// The refusal that says what was wrong with a request.
[[nodiscard]] http::response refusal_of(const absl::Status& fault);

} // namespace ej::runtime
