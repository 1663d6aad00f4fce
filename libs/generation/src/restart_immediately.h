#pragma once

#include <generation/loss_policy.h>

#include <core/work_target.h>

namespace ej::generation {

/// Starts the next attempt as soon as a connection is silent, so the prefix is computed again even
/// if the engine is alive. Lost connections are checked first, and so is silence after two
/// restarts.
class restart_immediately final : public loss_policy {
public:
    explicit restart_immediately(const core::work_target& target);

    [[nodiscard]] bool checks_before_restart(cause why, std::uint32_t restarts) const override;
    [[nodiscard]] core::duration silence_timeout() const override { return silence_timeout_; }
    [[nodiscard]] core::duration check_timeout() const override { return check_timeout_; }

private:
    core::duration silence_timeout_;
    core::duration check_timeout_;
};

} // namespace ej::generation
