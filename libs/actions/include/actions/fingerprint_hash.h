#pragma once

#include <actions/fingerprint.h>

#include <functional>

/// Lets unordered containers be keyed by fingerprints, whose bits are already spread evenly.
template <class Tag>
struct std::hash<ej::actions::fingerprint<Tag>> {
    std::size_t operator()(const ej::actions::fingerprint<Tag>& value) const noexcept
    {
        return value.low;
    }
};
