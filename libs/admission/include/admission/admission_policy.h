#pragma once

#include <admission/capacity.h>
#include <admission/queue_state.h>
#include <admission/refusal.h>

#include <core/instant.h>
#include <fairness/queued_request.h>

#include <optional>

namespace ej::admission {

/// Decides which requests are admitted to a queue. Stateless and thread-safe.
class admission_policy {
public:
    virtual ~admission_policy() = default;

    /// Why `asked` is not admitted; empty if it is admitted.
    [[nodiscard]] virtual std::optional<refusal> refuse(const fairness::queued_request& asked,
                                                        const queue_state& queue,
                                                        const capacity& capacity,
                                                        core::instant now) const = 0;

    /// True if `waiting` can no longer meet its target, so that running it would be wasted work.
    [[nodiscard]] virtual bool too_late(const fairness::queued_request& waiting,
                                        const capacity& capacity, core::instant now) const = 0;
};

} // namespace ej::admission
