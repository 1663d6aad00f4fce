#pragma once

#include <membership/endpoint_entry.h>
#include <membership/member_entry.h>

#include <core/endpoint_id.h>

#include <cstddef>
#include <cstdint>

namespace ej::membership {

/// Hashes of whole entries; the same in every daemon.
[[nodiscard]] std::uint64_t fingerprint(const member_entry& entry);
[[nodiscard]] std::uint64_t fingerprint(const endpoint_entry& entry);

/// The digest's bucket of an endpoint; below `endpoint_buckets`.
[[nodiscard]] std::size_t bucket_of(const core::endpoint_id& name);

} // namespace ej::membership
