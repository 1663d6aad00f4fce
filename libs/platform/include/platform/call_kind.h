#pragma once

#include <array>
#include <string_view>

namespace ej::platform {

/// Kinds of calls to the platform, each with its own counters.
enum class call_kind { read, watch, write, list, lease, vms };

inline constexpr std::size_t call_kind_count = 6;

/// Every kind, in order.
[[nodiscard]] const std::array<call_kind, call_kind_count>& all_call_kinds();

/// The name used in metrics.
[[nodiscard]] std::string_view to_string(call_kind kind);

} // namespace ej::platform
