#pragma once

#include <generation/loss_policy.h>

#include <core/work_target.h>

namespace ej::generation {

/// Checks the engine before a restart. Costs a round trip; saves recomputing the prefix if the
/// engine is alive.
class check_before_restart final : public loss_policy {
public:
    explicit check_before_restart(const core::work_target& target);

    [[nodiscard]] bool checks_before_restart(cause why, std::uint32_t restarts) const override;
    [[nodiscard]] core::duration silence_timeout() const override { return silence_timeout_; }
    [[nodiscard]] core::duration check_timeout() const override { return check_timeout_; }

private:
    core::duration silence_timeout_;
    core::duration check_timeout_;
};

} // namespace ej::generation
