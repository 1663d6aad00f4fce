#pragma once

#include <suspects/suspicion_policy.h>

#include <cstdint>

namespace ej::suspects {

/// Refuses a request after a number of deaths, regardless of the other requests that were running.
class death_count_policy final : public suspicion_policy {
public:
    /// Refuses after `deaths` deaths; at least 1.
    explicit death_count_policy(std::uint32_t deaths = 2) : deaths_(deaths) {}

    [[nodiscard]] verdict evaluate(const evidence& known) const override;

private:
    std::uint32_t deaths_;
};

} // namespace ej::suspects
