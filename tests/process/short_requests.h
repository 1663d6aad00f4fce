#pragma once

#include "deployment.h"

#include <nlohmann/json.hpp>

#include <future>
#include <string>

namespace ej::process_tests {

/// The idempotency key of every short request of these tests.
inline constexpr const auto* short_request_key = "crossing-0740";

/// Sends a request of class `work_class` with `text` in its body to a daemon, on a separate thread.
/// Yields the body of the answer, or `{"outcome":"broken"}` if the connection broke.
[[nodiscard]] std::future<nlohmann::json> submit(const deployment& system,
                                                 const std::string& daemon,
                                                 const std::string& work_class,
                                                 const std::string& text);

} // namespace ej::process_tests
