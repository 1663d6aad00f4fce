#pragma once

#include <cstddef>
#include <string_view>

namespace ej::forwarding {

/// Where a daemon learned that an endpoint leaves.
enum class leaving_source {
    registration, ///< The endpoint's registration in the store.
    answer,       ///< An answer of the endpoint to this daemon.
    peer          ///< Another daemon of the failure domain.
};

inline constexpr std::size_t leaving_source_count = 3;

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(leaving_source source);

} // namespace ej::forwarding
