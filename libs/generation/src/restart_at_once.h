#pragma once

#include <generation/loss_policy.h>

#include <core/work_target.h>

namespace ej::generation {

/// Starts the next attempt as soon as a connection is lost or silent: pays the prefix again even
/// when the engine lives.
class restart_at_once final : public loss_policy {
public:
    explicit restart_at_once(const core::work_target& target);

    [[nodiscard]] bool asks_first(cause why, std::uint32_t restarts) const override;
    [[nodiscard]] core::duration silence_bound() const override { return silence_bound_; }
    [[nodiscard]] core::duration answer_bound() const override { return answer_bound_; }

private:
    core::duration silence_bound_;
    core::duration answer_bound_;
};

} // namespace ej::generation
