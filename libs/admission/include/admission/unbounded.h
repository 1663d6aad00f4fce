#pragma once

#include <admission/admission_policy.h>

namespace ej::admission {

/// Admission policy that admits every request and never drops one.
class unbounded final : public admission_policy {
public:
    [[nodiscard]] std::optional<refusal> refuse(const fairness::queued_request& asked,
                                                const queue_state& queue, const capacity& capacity,
                                                core::instant now) const override;
    [[nodiscard]] bool too_late(const fairness::queued_request& waiting, const capacity& capacity,
                                core::instant now) const override;
};

} // namespace ej::admission
