#pragma once

#include <membership/domain_summary.h>
#include <membership/member_entry.h>

#include <core/instant.h>

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

namespace ej::membership {

/// Another failure domain's summary, and which of its daemons this daemon connects to.
struct domain_record {
    std::optional<domain_summary> summary;
    core::instant updated_at; ///< When the summary last changed.
    /// From the platform's list; used until a summary names bridges.
    std::vector<member_entry> listed;
    std::size_t connection_losses = 0; ///< So far; selects the bridge to try.

    friend auto operator<=>(const domain_record&, const domain_record&) = default;
};

} // namespace ej::membership
