#pragma once

#include <core/endpoint.h>

#include <absl/status/statusor.h>

#include <string_view>
#include <vector>

namespace ej::wire {

/// Reads the platform's list of VMs and keeps the live endpoints; entries that cannot be read are
/// skipped. Error: InvalidArgument when the answer is no list.
[[nodiscard]] absl::StatusOr<std::vector<core::endpoint>> parse_vm_list(std::string_view text);

} // namespace ej::wire
