#pragma once

#include <actions/claim_bucket.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace ej::actions_wire {

/// Encodes `bucket` as the JSON text kept in the platform's store.
[[nodiscard]] std::string encode(const actions::claim_bucket& bucket);

/// Decodes the output of `encode`; empty text gives an empty bucket. Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<actions::claim_bucket> decode_claim_bucket(std::string_view text);

} // namespace ej::actions_wire
