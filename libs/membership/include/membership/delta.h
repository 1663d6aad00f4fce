#pragma once

#include <membership/domain_summary.h>
#include <membership/endpoint_entry.h>
#include <membership/member_entry.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// A message between daemons: entries that changed.
struct delta {
    std::vector<member_entry> members;
    std::vector<endpoint_entry> endpoints;
    std::vector<domain_summary> summaries;

    /// Number of entries.
    [[nodiscard]] std::size_t size() const
    {
        return members.size() + endpoints.size() + summaries.size();
    }

    friend auto operator<=>(const delta&, const delta&) = default;
};

} // namespace ej::membership
