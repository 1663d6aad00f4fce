#pragma once

#include <platform/kv_entry.h>
#include <platform/lease_id.h>
#include <platform/named_entry.h>
#include <platform/vm_record.h>

#include <core/revision.h>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace ej::platform {

/// Parsers for the bodies of the platform's answers. Error of each: Internal when a field is
/// missing or has another type; unknown fields are skipped.
[[nodiscard]] absl::StatusOr<kv_entry> parse_entry(const std::string& body);
[[nodiscard]] absl::StatusOr<core::revision> parse_revision(const std::string& body);
[[nodiscard]] absl::StatusOr<std::vector<named_entry>> parse_entries(const std::string& body);
[[nodiscard]] absl::StatusOr<lease_id> parse_lease(const std::string& body);
[[nodiscard]] absl::StatusOr<std::vector<vm_record>> parse_vms(const std::string& body);

} // namespace ej::platform
