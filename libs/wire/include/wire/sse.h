#pragma once

#include <core/refusal_reason.h>
#include <core/request_id.h>
#include <core/token_offset.h>

#include <chrono>
#include <span>
#include <string>
#include <string_view>

namespace ej::wire {

/// The first event of a stream.
[[nodiscard]] std::string start_event(const core::request_id& request);

/// An event with the tokens from `offset` on. The caller sends `id` back as Last-Event-ID to
/// resume.
[[nodiscard]] std::string tokens_event(std::string_view id, core::token_offset offset,
                                       std::span<const std::string> tokens);

/// The last event of a complete answer of `total` tokens.
[[nodiscard]] std::string end_event(core::token_offset total);

/// The last event of a request that was refused, failed or has an unknown outcome.
[[nodiscard]] std::string error_event(std::string_view kind, std::string_view reason,
                                      std::chrono::milliseconds retry_after);

} // namespace ej::wire
