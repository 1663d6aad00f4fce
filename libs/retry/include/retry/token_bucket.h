#pragma once

#include <compare>

namespace ej::retry {

/// Extra work that a class may spend on retries, earned by the work of first attempts. Immutable:
/// each event creates a new bucket.
struct token_bucket {
    double fraction = 0.05; ///< Earned per unit of work; 0 to 1.
    double capacity = 0;    ///< Upper bound of `level`, in work; >= 0.
    double level = 0;       ///< Available now, in work; 0 to `capacity`.

    /// The bucket after a first attempt of `work` began.
    [[nodiscard]] token_bucket earned(double work) const;

    /// True if `work` can be spent.
    [[nodiscard]] bool covers(double work) const { return work <= level; }

    /// The bucket after `work` was spent; requires `covers(work)`.
    [[nodiscard]] token_bucket spent(double work) const;

    friend auto operator<=>(const token_bucket&, const token_bucket&) = default;
};

} // namespace ej::retry
