#pragma once

#include <suspects/death_record.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <vector>

namespace ej::suspects_wire {

/// Encodes the record as CBOR: an array of layout number, endpoint, incarnation, the digests of the
/// requests without output and, if there are any, those of the requests after output.
[[nodiscard]] std::vector<std::uint8_t> encode(const suspects::death_record& record);

/// Decodes the output of `encode`. Error: InvalidArgument, also for other layout numbers.
[[nodiscard]] absl::StatusOr<suspects::death_record>
decode_death(std::span<const std::uint8_t> bytes);

} // namespace ej::suspects_wire
