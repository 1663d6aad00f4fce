#pragma once

#include <suspects/cleared_parts.h>
#include <suspects/held_parts.h>
#include <suspects/part_death.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace ej::suspects_wire {

/// Content of a datagram about parts of prompts.
using part_message =
    std::variant<suspects::part_death, suspects::held_parts, suspects::cleared_parts>;

/// Encodes as CBOR: an array that begins with the layout number. Times have a resolution of 1 ms.
[[nodiscard]] std::vector<std::uint8_t> encode(const suspects::part_death& seen);
[[nodiscard]] std::vector<std::uint8_t> encode(const suspects::held_parts& held);
[[nodiscard]] std::vector<std::uint8_t> encode(const suspects::cleared_parts& cleared);

/// Decodes the output of `encode`. Error: InvalidArgument, also for other layout numbers.
[[nodiscard]] absl::StatusOr<part_message> decode_part(std::span<const std::uint8_t> bytes);

} // namespace ej::suspects_wire
