#pragma once

#include <core/class_id.h>
#include <core/findings.h>

#include <chrono>
#include <string>
#include <string_view>

namespace ej::actions_wire {

/// Reads the body of POST /v1/tickets, `{"class":"..."}`; faults go to `faults`.
[[nodiscard]] core::class_id parse_ticket_request(std::string_view body, core::findings& faults);

/// The answer: `{"ticket":"...","valid_ms":N}`; the ticket serves as idempotency key.
[[nodiscard]] std::string ticket_body(std::string_view key, std::chrono::milliseconds valid);

} // namespace ej::actions_wire
