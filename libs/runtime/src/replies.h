#pragma once

#include <core/refusal_reason.h>
#include <http/response.h>

#include <absl/status/status.h>

#include <string_view>

namespace ej::runtime {

/// A refusal: the request did not run.
[[nodiscard]] http::response refusal(core::refusal_reason reason, std::string_view detail = {});

/// The answer of a call that was done, with the application's `result`.
[[nodiscard]] http::response done(std::string_view result);

/// The answer of a call that may have run.
[[nodiscard]] http::response outcome_unknown(std::string_view reason);

/// The refusal that says what was wrong with a request.
[[nodiscard]] http::response refusal_of(const absl::Status& fault);

} // namespace ej::runtime
