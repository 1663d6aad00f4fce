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

/// A daemon's candidacy for the lease of its failure domain: acquires the lease, renews it, and
/// drops it once it may have expired. Not thread-safe; the held lease is a value that can be
/// copied.
///
/// At most one call is in flight. A call that timed out may have taken effect: after a claim the
/// key is read back, a renewal is sent again.
class candidate {
public:
    /// `strategy` outlives the candidate.
    candidate(lease_settings settings, const deadline_strategy& strategy);

    /// The call to make now, if one is due.
    std::optional<platform_call> tick(core::instant now);

    /// Handles an answer and returns the next call, if any. Answers to calls that timed out are
    /// ignored.
    std::optional<platform_call> answer(const platform_answer& got, core::instant now);

    /// The latest time for the next call of `tick`.
    [[nodiscard]] core::instant next_wake() const;

    /// The lease, if this daemon holds it; check `valid_at(now)` before each action.
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
    core::instant lease_expiry_; // As computed by the strategy.
    std::optional<held_lease> held_;
    core::instant next_call_at_;
};

} // namespace ej::lease
