#pragma once

#include <rollout/share.h>
#include <rollout/version_fallback.h>

#include <core/endpoint.h>
#include <core/version_id.h>

#include <compare>
#include <vector>

namespace ej::rollout {

/// Which versions of a service one send may use.
struct version_rule {
    core::version_id target; ///< Of the roll-out; empty: there is none, and all versions are equal.
    bool prefers_target = false; ///< Otherwise the other versions are preferred.
    version_fallback fallback = version_fallback::never;
    /// Of the target's endpoints only so many are used that each gets as much as one of another
    /// version. `whole_share`: all of them.
    share narrowed_to = whole_share;

    /// True if `version` is preferred.
    [[nodiscard]] bool prefers(const core::version_id& version) const
    {
        return target.empty() || (version == target) == prefers_target;
    }

    /// True if versions that are not preferred may be used at all.
    [[nodiscard]] bool allows_others() const { return fallback != version_fallback::never; }

    /// True if what runs or has a copy at an endpoint of `version` may go on there.
    [[nodiscard]] bool keeps(const core::version_id& version) const
    {
        return prefers(version) || fallback == version_fallback::if_none_accepts;
    }

    friend auto operator<=>(const version_rule&, const version_rule&) = default;
};

/// The endpoints of `all`, which is sorted by name, that `rule` prefers.
[[nodiscard]] std::vector<core::endpoint> preferred_of(const std::vector<core::endpoint>& all,
                                                       const version_rule& rule);

/// The endpoints of `all` that `rule` does not prefer.
[[nodiscard]] std::vector<core::endpoint> others_of(const std::vector<core::endpoint>& all,
                                                    const version_rule& rule);

} // namespace ej::rollout
