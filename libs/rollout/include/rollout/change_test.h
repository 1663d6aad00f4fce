#pragma once

#include <cstdint>

namespace ej::rollout {

/// Sequential test whether the answers of the target are bad more often than those of the other
/// versions at the same time. A cumulative sum (CUSUM) of log likelihood ratios, so that a version
/// that turns bad late is found as soon as one that was bad from the start.
class change_test {
public:
    /// The sum at which the target counts as bad: a good version reaches it about once in
    /// exp(11.5), 100,000, answers.
    static constexpr double threshold = 11.5;

    /// Applies the totals since the order, of which `target_bad` and `others_bad` were bad.
    void apply(std::uint64_t target, std::uint64_t target_bad, std::uint64_t others,
               std::uint64_t others_bad);

    /// From 0 on.
    [[nodiscard]] double sum() const { return sum_; }

    [[nodiscard]] bool alarmed() const { return sum_ >= threshold; }

private:
    std::uint64_t target_ = 0;
    std::uint64_t target_bad_ = 0;
    std::uint64_t others_ = 0;
    std::uint64_t others_bad_ = 0;
    double recent_ = 0;      // Answers of other versions, the older ones with less weight.
    double recent_bad_ = 0;  // The bad ones among them.
    double flow_target_ = 0; // Answers of the target among the latest of all versions.
    double flow_others_ = 0; // Answers of other versions among them.
    double sum_ = 0;
};

} // namespace ej::rollout
