#pragma once

#include <core/id.h>

#include <functional>

/// Lets unordered containers be keyed by identifiers.
template <class Tag>
struct std::hash<ej::core::id<Tag>> {
    std::size_t operator()(const ej::core::id<Tag>& value) const noexcept
    {
        return std::hash<std::string>{}(value.text());
    }
};
