#pragma once

#include <membership/endpoint_entry.h>
#include <membership/member_entry.h>

#include <core/endpoint_id.h>

#include <cstddef>
#include <cstdint>

namespace ej::membership {

/// Hashes of whole entries; equal entries have equal hashes in every daemon.
[[nodiscard]] std::uint64_t fingerprint(const member_entry& entry);
[[nodiscard]] std::uint64_t fingerprint(const endpoint_entry& entry);

/// The endpoint's bucket in a digest; below `endpoint_buckets`.
[[nodiscard]] std::size_t bucket_of(const core::endpoint_id& name);

} // namespace ej::membership
