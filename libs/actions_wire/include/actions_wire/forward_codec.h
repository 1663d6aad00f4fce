#pragma once

#include <actions_wire/forwarded_call.h>

#include <actions/action_outcome.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace ej::actions_wire {

/// Encodes a call forwarded from one daemon to another as JSON.
[[nodiscard]] std::string encode(const forwarded_call& call);

/// Decodes the output of `encode`; ignores unknown fields. Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<forwarded_call> decode_forwarded_call(std::string_view text);

/// Encodes the response to a forwarded call as JSON.
[[nodiscard]] std::string encode(const actions::action_outcome& outcome);

/// Decodes the output of `encode`; ignores unknown fields. Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<actions::action_outcome> decode_outcome(std::string_view text);

} // namespace ej::actions_wire
