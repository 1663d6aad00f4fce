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

/// All that a daemon knows of one endpoint. Each event returns the entry that it changed, if any.
class endpoint_record {
public:
    /// Another daemon's statement.
    std::optional<endpoint_entry> merge_entry(const endpoint_entry& received, core::instant now);

    /// The platform's statement. It adds incarnations and says that they leave, but neither
    /// supersedes the present incarnation nor revives one.
    std::optional<endpoint_entry> list(const listed_endpoint& listed, core::instant now);

    /// The platform's list no longer has the endpoint.
    std::optional<endpoint_entry> mark_unlisted(core::instant now,
                                                const endpoint_settings& settings);

    /// The endpoint's own word.
    std::optional<endpoint_entry> report(const endpoint_report& answer, core::instant now,
                                         const endpoint_settings& settings);

    /// Another failure domain names an incarnation as leaving.
    std::optional<endpoint_entry> mark_leaving(const core::incarnation_id& incarnation,
                                               core::instant now);

    /// A connection to the endpoint failed.
    void fail(core::instant now, const endpoint_settings& settings);

    /// Forgets incarnations that have been gone or superseded for long. True when none is left.
    bool remove_expired(core::instant now, const endpoint_settings& settings);

    /// The present incarnation; null when it is gone. Valid until the next event.
    [[nodiscard]] const endpoint_entry* present() const;

    /// The present incarnation, if it may get new work now; else null. Valid until the next event.
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
    std::optional<core::instant> unlisted_; // When it left the list.
    bool listed_ = false;
};

} // namespace ej::membership
