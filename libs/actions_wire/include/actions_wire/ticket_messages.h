#pragma once

#include <core/class_id.h>
#include <core/findings.h>

#include <chrono>
#include <string>
#include <string_view>

namespace ej::actions_wire {

/// Parses the body of POST /v1/tickets, `{"class":"..."}`; adds each fault to `faults`.
[[nodiscard]] core::class_id parse_ticket_request(std::string_view body, core::findings& faults);

/// The response body, `{"ticket":"...","valid_ms":N}`. The ticket serves as idempotency key.
[[nodiscard]] std::string ticket_body(std::string_view key, std::chrono::milliseconds valid);

} // namespace ej::actions_wire
