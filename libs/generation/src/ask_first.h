#pragma once

#include <generation/loss_policy.h>

#include <core/work_target.h>

namespace ej::generation {

/// Asks the engine before it starts anew: costs a round trip, saves the prefix when it lives.
class ask_first final : public loss_policy {
public:
    explicit ask_first(const core::work_target& target);

    [[nodiscard]] bool asks_first(cause why, std::uint32_t restarts) const override;
    [[nodiscard]] core::duration silence_bound() const override { return silence_bound_; }
    [[nodiscard]] core::duration answer_bound() const override { return answer_bound_; }

private:
    core::duration silence_bound_;
    core::duration answer_bound_;
};

} // namespace ej::generation
