#pragma once

#include <cstddef>

namespace ej::soak {

/// What an endpoint did with a request.
enum class notice_kind {
    arrived, ///< It received the request.
    leaving, ///< Its answer said that it leaves.
    paused   ///< It refused the request and asked for a pause.
};

inline constexpr std::size_t notice_kind_count = 3;

} // namespace ej::soak
