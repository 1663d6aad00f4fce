#pragma once

#include <suspects/part_policy.h>

#include <cstdint>

namespace ej::suspects {

/// Holds a part back after a number of bursts of deaths, in any failure domain, without an output
/// in between.
class independent_bursts_policy final : public part_policy {
public:
    explicit independent_bursts_policy(std::uint32_t bursts = 3) : bursts_(bursts) {}

    [[nodiscard]] bool holds(const part_evidence& known) const override;

private:
    std::uint32_t bursts_;
};

} // namespace ej::suspects
