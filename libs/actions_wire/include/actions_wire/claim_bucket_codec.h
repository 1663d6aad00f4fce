#pragma once

#include <actions/claim_bucket.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace ej::actions_wire {

/// `bucket` as the JSON text that the platform's store holds.
[[nodiscard]] std::string encode(const actions::claim_bucket& bucket);

/// Reads what `encode` wrote; empty text is an empty bucket. Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<actions::claim_bucket> decode_claim_bucket(std::string_view text);

} // namespace ej::actions_wire
