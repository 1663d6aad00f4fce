#pragma once

#include <membership/domain_summary.h>
#include <membership/endpoint_entry.h>
#include <membership/member_entry.h>

namespace ej::membership {

/// Each merges two entries of one daemon, incarnation of an endpoint, or failure domain.
/// Commutative, associative and idempotent, so that order and repetition of messages do not matter.
[[nodiscard]] member_entry merge(const member_entry& left, const member_entry& right);
[[nodiscard]] endpoint_entry merge(const endpoint_entry& left, const endpoint_entry& right);
[[nodiscard]] domain_summary merge(const domain_summary& left, const domain_summary& right);

} // namespace ej::membership
