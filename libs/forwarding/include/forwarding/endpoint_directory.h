#pragma once

#include <forwarding/available_endpoints.h>
#include <forwarding/endpoint_record.h>
#include <forwarding/leaving_endpoints.h>
#include <forwarding/leaving_evidence.h>

#include <concurrency/snapshot.h>
#include <core/instant.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace ej::forwarding {

/// The endpoints that may receive requests: those that are registered, without the incarnations
/// that are known to leave from any source. Thread-safe; reading it costs no more than a snapshot.
class endpoint_directory {
public:
    /// The current endpoints.
    [[nodiscard]] std::shared_ptr<const available_endpoints> load() const
    {
        return current_.load();
    }

    /// Records that an incarnation leaves. When this returns, `load` does not list it, and never
    /// will. Returns true if it was not known to leave.
    bool leave(const leaving_evidence& seen);

    /// True if `run` is known to leave.
    [[nodiscard]] bool is_leaving(const endpoint_run& run) const { return leaving_.contains(run); }

    /// Replaces the registrations.
    void publish(std::vector<endpoint_record> records);

    /// Forgets leaving incarnations that are gone (`leaving_endpoints::review`).
    void review(const leaving_endpoints::run_filter& is_registered, core::instant now)
    {
        leaving_.review(is_registered, now);
    }

    /// Number of leaving incarnations that are remembered.
    [[nodiscard]] std::size_t leaving() const { return leaving_.size(); }

private:
    leaving_endpoints leaving_;
    concurrency::snapshot<available_endpoints> current_{available_endpoints()};
};

} // namespace ej::forwarding
