#pragma once

#include <forwarding/endpoint_record.h>
#include <forwarding/fleet.h>

#include <core/endpoint_id.h>
#include <core/instant.h>
#include <core/revision.h>

#include <map>
#include <optional>
#include <set>

namespace ej::forwarding {

/// Follows the registrations of endpoints in the store: entries by revision, the grace for entries
/// that lapsed while the store was away, and drains, which hold once they were seen.
/// Not thread-safe.
class fleet_log {
public:
    /// Entries that lapsed during an outage are back this long after it (platform's page on
    /// discovery: about two seconds).
    static constexpr core::duration return_grace = std::chrono::milliseconds(2'000);

    /// Notes an entry written at `revision`; older news than what is known is skipped.
    /// An entry without a readable record counts as removed. True if anything but the revision
    /// changed, or the entry was missing.
    bool put(const core::endpoint_id& name, std::optional<endpoint_record> record,
             core::revision revision);

    /// Notes that the entry was removed at `revision`. Within the grace after an outage it is kept
    /// until the grace ends. True if it is gone at once.
    bool remove(const core::endpoint_id& name, core::revision revision, core::instant now);

    /// Notes that a whole listing taken at `revision` holds only the entries `present`.
    void retain(const std::set<core::endpoint_id>& present, core::revision revision,
                core::instant now);

    /// The store did not answer.
    void outage();

    /// The store answers again, this daemon or a neighbour.
    void answered(core::instant now);

    /// Drops entries whose grace has ended. True if any was dropped.
    bool expire(core::instant now);

    /// The endpoints as they stand.
    [[nodiscard]] fleet current() const;

private:
    struct entry {
        std::optional<endpoint_record> record;
        core::revision revision;
        std::optional<core::instant> missing_since;
    };

    [[nodiscard]] bool in_grace(core::instant now) const;

    std::map<core::endpoint_id, entry> entries_;
    std::set<core::endpoint> drained_; // Compared by name, incarnation and address.
    bool store_unavailable_ = false;
    std::optional<core::instant> store_returned_at_;
};

} // namespace ej::forwarding
