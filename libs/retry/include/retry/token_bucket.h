#pragma once

#include <compare>

namespace ej::retry {

/// Extra work that a class may spend, earned by the work of first attempts. Immutable: an event
/// gives a new bucket.
struct token_bucket {
    double fraction = 0.05; ///< Earned per unit of work; 0 to 1.
    double capacity = 0;    ///< Kept at most, in work; >= 0.
    double level = 0;       ///< May be spent now, in work; 0 to `capacity`.

    /// The bucket after a first attempt of `work` began.
    [[nodiscard]] token_bucket earned(double work) const;

    /// True if `work` can be spent.
    [[nodiscard]] bool covers(double work) const { return work <= level; }

    /// The bucket after `work` was spent; `covers(work)` holds.
    [[nodiscard]] token_bucket spent(double work) const;

    friend auto operator<=>(const token_bucket&, const token_bucket&) = default;
};

} // namespace ej::retry
