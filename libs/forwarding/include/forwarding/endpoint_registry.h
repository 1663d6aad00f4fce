#pragma once

#include <forwarding/endpoint_directory.h>
#include <forwarding/endpoint_record.h>
#include <forwarding/endpoint_run.h>
#include <forwarding/named_services.h>

#include <core/endpoint_id.h>
#include <core/instant.h>
#include <core/revision.h>
#include <core/service_id.h>

#include <map>
#include <optional>
#include <set>

namespace ej::forwarding {

/// Local copy of the endpoint registrations in the store. Applies entries in order of revision and
/// keeps entries that expired during a store outage for a grace period. A registration that says
/// that its endpoint leaves is evidence for the directory. Entries of services that no
/// configuration names have no effect until one names them. Not thread-safe.
class endpoint_registry {
public:
    /// Endpoints whose entries expired during an outage register again within this time after it
    /// (the platform's discovery page says about two seconds).
    static constexpr core::duration return_grace = std::chrono::milliseconds(2'000);

    /// `directory` outlives the registry.
    explicit endpoint_registry(endpoint_directory& directory) : directory_(directory) {}

    /// Applies an entry written at `revision`; ignored if a newer revision of it is already known.
    /// An entry without a readable record counts as removed. Returns true if anything but the
    /// revision changed, or if the entry was missing before.
    bool put(const core::endpoint_id& name, std::optional<endpoint_record> record,
             core::revision revision);

    /// Replaces the services that the configuration names. Returns true if entries that had no
    /// effect may have come into use.
    bool name_services(const std::set<core::service_id>& named, core::instant now);

    /// True if the configuration names `service`.
    [[nodiscard]] bool names(const core::service_id& service) const
    {
        return services_.contains(service);
    }

    /// True if `revision` of the entry is known to have no readable record.
    [[nodiscard]] bool is_unreadable(const core::endpoint_id& name, core::revision revision) const;

    /// Applies the removal of an entry at `revision`. During an outage and the grace period after
    /// it the entry is kept until that period ends. Returns true if the entry was removed at once.
    bool remove(const core::endpoint_id& name, core::revision revision, core::instant now);

    /// Applies `remove` to the entries that are missing in `present`, a complete listing taken at
    /// `revision`.
    void retain(const std::set<core::endpoint_id>& present, core::revision revision,
                core::instant now);

    /// Call when the store did not answer.
    void outage();

    /// Call when the store answered this daemon or another one of its failure domain.
    void answered(core::instant now);

    /// Drops missing entries once the grace period has ended, and services that the configuration
    /// no longer names. Returns true if any was dropped.
    bool expire(core::instant now);

    /// True if `run` is registered.
    [[nodiscard]] bool has(const endpoint_run& run) const;

    /// Replaces the registrations in the directory.
    void publish() const;

    /// Lets the directory forget what it knows of incarnations that are gone, about once a minute
    /// however often it is called. Returns true if it has done so.
    bool review(core::instant now);

private:
    struct entry {
        std::optional<endpoint_record> record;
        core::revision revision;
        std::optional<core::instant> missing_since;
    };

    [[nodiscard]] bool in_grace(core::instant now) const;
    void note_leaving(const endpoint_record& record);

    endpoint_directory& directory_;
    std::map<core::endpoint_id, entry> entries_;
    named_services services_;
    core::instant next_review_{};
    bool store_unavailable_ = false;
    std::optional<core::instant> store_returned_at_;
};

} // namespace ej::forwarding
