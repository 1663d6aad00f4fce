#pragma once

#include <admission/refusal.h>
#include <core/refusal_reason.h>
#include <http/response.h>

#include <absl/status/status.h>

#include <string_view>

namespace ej::runtime {

/// The response to a refused request, which did not run.
[[nodiscard]] http::response refusal(core::refusal_reason reason, std::string_view detail = {});

/// The same, with the time after which to retry.
[[nodiscard]] http::response refusal(const admission::refusal& why);

/// The response to a completed call, with the application's `result`.
[[nodiscard]] http::response done(std::string_view result);

/// The response to a call that may have run.
[[nodiscard]] http::response outcome_unknown(std::string_view reason);

/// The refusal of an invalid request, with the error's message.
[[nodiscard]] http::response refusal_of(const absl::Status& fault);

} // namespace ej::runtime
