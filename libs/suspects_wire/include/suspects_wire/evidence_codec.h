#pragma once

#include <suspects/evidence_query.h>
#include <suspects/evidence_report.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace ej::suspects_wire {

/// Content of a datagram that hands evidence against requests on.
using evidence_message = std::variant<suspects::evidence_query, suspects::evidence_report>;

/// Encodes as CBOR: an array that begins with the layout number. Ages have a resolution of 1 ms.
[[nodiscard]] std::vector<std::uint8_t> encode(const suspects::evidence_query& query);
[[nodiscard]] std::vector<std::uint8_t> encode(const suspects::evidence_report& report);

/// Decodes the output of `encode`. Error: InvalidArgument, also for other layout numbers.
[[nodiscard]] absl::StatusOr<evidence_message> decode_evidence(std::span<const std::uint8_t> bytes);

} // namespace ej::suspects_wire
