#pragma once

#include <suspects/part_policy.h>

#include <cstdint>

namespace ej::suspects {

/// Holds a part back after `deaths` independent deaths without an output in between, or after
/// `deaths_if_proven` if the part has had output before. They must fall into two bursts or more:
/// an outage or a cut may reach several failure domains at once.
class independent_deaths_policy final : public part_policy {
public:
    explicit independent_deaths_policy(std::uint32_t deaths = 3, std::uint32_t deaths_if_proven = 5)
        : deaths_(deaths), deaths_if_proven_(deaths_if_proven)
    {
    }

    [[nodiscard]] bool holds(const part_evidence& known) const override;

private:
    std::uint32_t deaths_;
    std::uint32_t deaths_if_proven_;
};

} // namespace ej::suspects
