#pragma once

#include <suspects/suspicion_policy.h>

#include <cstdint>

namespace ej::suspects {

/// Refuses a request after a number of deaths, whatever ran beside it.
class count_deaths final : public suspicion_policy {
public:
    /// Refuses after `deaths`; from 1.
    explicit count_deaths(std::uint32_t deaths = 2) : deaths_(deaths) {}

    [[nodiscard]] verdict judge(const evidence& known) const override;

private:
    std::uint32_t deaths_;
};

} // namespace ej::suspects
