#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace ej::front {

/// A number that differs between requests. Hashing the identifier needs no random source.
[[nodiscard]] inline std::uint64_t draw_of(const std::string& request_id)
{
    return std::hash<std::string>{}(request_id);
}

} // namespace ej::front
