#pragma once

#include "http_reply.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace ej::stand_ins {

/// A reply with `body`.
[[nodiscard]] http_reply json_reply(unsigned status, const nlohmann::json& body);

/// A reply whose `error` field is `fault`.
[[nodiscard]] http_reply error_reply(unsigned status, const std::string& fault);

/// A 503 reply with `Not-Run: true`: the call was not executed.
[[nodiscard]] http_reply not_run_reply();

} // namespace ej::stand_ins
