#pragma once

#include <membership/endpoint_entry.h>
#include <membership/endpoint_health.h>
#include <membership/endpoint_report.h>
#include <membership/endpoint_settings.h>
#include <membership/listed_endpoint.h>

#include <compare>
#include <optional>
#include <vector>

namespace ej::membership {

/// A daemon's state of one endpoint. Each update returns the entry that it changed, if any.
class endpoint_record {
public:
    /// Merges an entry received from another daemon.
    std::optional<endpoint_entry> merge_entry(const endpoint_entry& received, core::instant now);

    /// Applies a line of the platform's list. It may add an incarnation or mark one as leaving, but
    /// neither supersedes the present incarnation nor revives one.
    std::optional<endpoint_entry> list(const listed_endpoint& listed, core::instant now);

    /// Handles a platform list without the endpoint; after `gone_after` without contact it is gone.
    std::optional<endpoint_entry> mark_unlisted(core::instant now,
                                                const endpoint_settings& settings);

    /// Applies the endpoint's own report.
    std::optional<endpoint_entry> report(const endpoint_report& answer, core::instant now,
                                         const endpoint_settings& settings);

    /// Marks an incarnation that another failure domain reports as leaving.
    std::optional<endpoint_entry> mark_leaving(const core::incarnation_id& incarnation,
                                               core::instant now);

    /// Records a failed connection to the endpoint.
    void fail(core::instant now, const endpoint_settings& settings);

    /// Removes gone and superseded incarnations if nothing changed for `forget_after`. True when
    /// none is left.
    bool remove_expired(core::instant now, const endpoint_settings& settings);

    /// The present incarnation; null when it is gone. Valid until the next update.
    [[nodiscard]] const endpoint_entry* present() const;

    /// The present incarnation if it may get new work now, else null. Valid until the next update.
    [[nodiscard]] const endpoint_entry* usable(core::instant now) const;

    /// Every incarnation known.
    [[nodiscard]] const std::vector<endpoint_entry>& incarnations() const { return entries_; }

    [[nodiscard]] const endpoint_health& health() const { return health_; }

private:
    std::optional<endpoint_entry> replace(const endpoint_entry& next, core::instant now);
    std::optional<endpoint_entry> find(const core::incarnation_id& incarnation) const;

    std::vector<endpoint_entry> entries_; // Highest generation first.
    endpoint_health health_;
    core::instant changed_;
    std::optional<core::instant> unlisted_; // When the endpoint was removed from the list.
    bool listed_ = false;
};

} // namespace ej::membership
