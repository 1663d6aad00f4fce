#pragma once

#include <membership/delta.h>

#include <core/address.h>
#include <core/endpoint_id.h>
#include <core/failure_domain_id.h>
#include <core/incarnation_id.h>
#include <core/instant.h>
#include <core/vm_id.h>

#include <map>
#include <utility>

namespace ej::membership {

/// Entries to be sent to one peer. A newer entry replaces an unsent older one, so that the outbox
/// never holds more entries than the sender's directories.
class outbox {
public:
    outbox() = default;
    outbox(core::address to, bool same_domain) : to_(std::move(to)), same_domain_(same_domain) {}

    void add(const member_entry& entry);
    void add(const endpoint_entry& entry);
    void add(const domain_summary& summary);

    /// Removes up to `max_entries` and returns them: members first, then endpoints, then summaries.
    delta take(std::size_t max_entries);

    [[nodiscard]] bool empty() const;
    [[nodiscard]] const core::address& to() const { return to_; }
    [[nodiscard]] bool same_domain() const { return same_domain_; }

    /// True when it holds other entries than summaries; summaries may wait to be sent together.
    [[nodiscard]] bool urgent() const { return !members_.empty() || !endpoints_.empty(); }

    /// When a message was last taken for sending.
    [[nodiscard]] core::instant last_sent() const { return last_sent_; }

    /// Records that a message was taken for sending.
    void mark_sent(core::instant now) { last_sent_ = now; }

private:
    core::instant last_sent_;
    core::address to_;
    bool same_domain_ = true;
    std::map<core::vm_id, member_entry> members_;
    std::map<std::pair<core::endpoint_id, core::incarnation_id>, endpoint_entry> endpoints_;
    std::map<core::failure_domain_id, domain_summary> summaries_;
};

} // namespace ej::membership
