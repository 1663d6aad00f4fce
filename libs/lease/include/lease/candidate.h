#pragma once

#include <lease/call_kind.h>
#include <lease/deadline_strategy.h>
#include <lease/held_lease.h>
#include <lease/lease_settings.h>
#include <lease/platform_answer.h>
#include <lease/platform_call.h>

#include <core/instant.h>

#include <optional>

namespace ej::lease {

/// One daemon's part in having one holder for a failure domain: acquires the lease, renews it, and
/// knows when it is no longer the holder. Not thread-safe; its tenure is a value that others copy.
///
/// One call is under way at a time. A call without an answer in time may have taken effect: a claim
/// is read back, a renewal is sent again.
class candidate {
public:
    /// `strategy` outlives the candidate.
    candidate(lease_settings settings, const deadline_strategy& strategy);

    /// The call to make now, if one is due.
    std::optional<platform_call> tick(core::instant now);

    /// Takes in an answer; late answers to calls given up are ignored.
    std::optional<platform_call> answer(const platform_answer& got, core::instant now);

    /// When a tick is due at the latest.
    [[nodiscard]] core::instant next_wake() const;

    /// The right to act; ask `holds(now)` each time before acting.
    [[nodiscard]] const std::optional<held_lease>& held() const { return held_; }

private:
    struct pending_call {
        platform_call call;
        core::instant sent;
    };

    std::optional<platform_call> send(call_kind kind, core::instant now);
    std::optional<platform_call> handle_answer(const pending_call& call, const platform_answer& got,
                                               core::instant now);
    std::optional<platform_call> on_create(const pending_call& call, const platform_answer& got,
                                           core::instant now);
    std::optional<platform_call> on_claim(const pending_call& call, const platform_answer& got,
                                          core::instant now);
    std::optional<platform_call> on_read(const pending_call& call, const platform_answer& got,
                                         core::instant now);
    std::optional<platform_call> on_renew(const pending_call& call, const platform_answer& got,
                                          core::instant now);
    void extend(core::instant sent, core::instant now);
    std::optional<platform_call> drop_lease(core::instant now);

    lease_settings settings_;
    const deadline_strategy& strategy_;
    std::optional<pending_call> pending_;
    call_number last_number_;
    lease_id lease_;
    core::instant lease_expiry_; // The lease's own deadline, by the strategy.
    std::optional<held_lease> held_;
    core::instant next_call_at_;
};

} // namespace ej::lease
