#pragma once

#include <generation/loss_policy.h>

#include <core/work_target.h>

namespace ej::generation {

/// Starts the next attempt as soon as a connection is lost or silent: pays the prefix again even
/// when the engine lives.
class restart_immediately final : public loss_policy {
public:
    explicit restart_immediately(const core::work_target& target);

    [[nodiscard]] bool checks_before_restart(cause why, std::uint32_t restarts) const override;
    [[nodiscard]] core::duration silence_bound() const override { return silence_timeout_; }
    [[nodiscard]] core::duration answer_bound() const override { return check_timeout_; }

private:
    core::duration silence_timeout_;
    core::duration check_timeout_;
};

} // namespace ej::generation
