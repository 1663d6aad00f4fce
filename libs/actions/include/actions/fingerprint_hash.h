#pragma once

#include <actions/fingerprint.h>

#include <functional>

/// Hash for unordered containers keyed by fingerprints. Uses the low half as is, because digest
/// bits are already uniformly distributed.
template <class Tag>
struct std::hash<ej::actions::fingerprint<Tag>> {
    std::size_t operator()(const ej::actions::fingerprint<Tag>& value) const noexcept
    {
        return value.low;
    }
};
