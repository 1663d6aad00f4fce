#pragma once

#include <rollout/rollout_report.h>
#include <rollout/rollout_verdict.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace ej::rollout_wire {

/// Content of a datagram about a roll-out.
using rollout_message = std::variant<rollout::rollout_report, rollout::rollout_verdict>;

/// Encodes as CBOR: an array that begins with the layout number.
[[nodiscard]] std::vector<std::uint8_t> encode(const rollout::rollout_report& report);
[[nodiscard]] std::vector<std::uint8_t> encode(const rollout::rollout_verdict& verdict);

/// Decodes the output of `encode`. Error: InvalidArgument, also for other layout numbers.
[[nodiscard]] absl::StatusOr<rollout_message> decode_rollout(std::span<const std::uint8_t> bytes);

} // namespace ej::rollout_wire
