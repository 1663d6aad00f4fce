#pragma once

#include <core/number.h>

#include <cstdint>
#include <functional>

/// Lets unordered containers be keyed by numbers.
template <class Tag>
struct std::hash<ej::core::number<Tag>> {
    std::size_t operator()(ej::core::number<Tag> number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value());
    }
};
