#pragma once

#include "http_reply.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace ej::stand_ins {

/// An answer with `body`.
[[nodiscard]] http_reply json_reply(unsigned status, const nlohmann::json& body);

/// An answer that names a fault.
[[nodiscard]] http_reply error_reply(unsigned status, const std::string& fault);

/// An answer that says that the call did not run.
[[nodiscard]] http_reply not_run_reply();

} // namespace ej::stand_ins
