#pragma once

#include <suspects/part_policy.h>

#include <cstdint>

namespace ej::suspects {

/// Holds a part back after a number of deaths without an output in between.
class unanswered_deaths_policy final : public part_policy {
public:
    explicit unanswered_deaths_policy(std::uint32_t deaths = 3) : deaths_(deaths) {}

    [[nodiscard]] bool holds(const part_evidence& known) const override;

private:
    std::uint32_t deaths_;
};

} // namespace ej::suspects
