#pragma once

#include <platform/store_write.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace ej::front {

/// Entries that daemons keep in the store so that what they say survives the loss of all daemons.
/// Used on the control loop.
class kept_entries {
public:
    kept_entries() = default;
    virtual ~kept_entries() = default;
    kept_entries(const kept_entries&) = delete;
    kept_entries& operator=(const kept_entries&) = delete;
    kept_entries(kept_entries&&) = delete;
    kept_entries& operator=(kept_entries&&) = delete;

    /// What the entries are about, for logs and metrics.
    [[nodiscard]] virtual std::string_view name() const = 0;

    /// The changes that this daemon is to make now, at most `most`; without leases.
    [[nodiscard]] virtual std::vector<platform::store_write> due(std::size_t most) = 0;

    /// Records a change that was made.
    virtual void record(const platform::store_write& made) = 0;

    /// True if no change becomes due by the passing of time alone.
    [[nodiscard]] virtual bool idle() = 0;
};

} // namespace ej::front
