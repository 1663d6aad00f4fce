#pragma once

#include <forwarding/store_query.h>
#include <forwarding/store_result.h>

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// Decides what a daemon asks the store for next, and how long it waits for the answer to begin or
/// to go on. Immutable: each result makes a new plan.
class store_query_plan {
public:
    /// A plan that begins with a listing; `shortest_wait`: for a store without late answers; > 0.
    explicit store_query_plan(core::duration shortest_wait);

    [[nodiscard]] store_query next() const { return next_; }
    [[nodiscard]] core::duration answer_within() const { return answer_within_; }

    /// The plan after a query that ended with `result` and `took` that long.
    [[nodiscard]] store_query_plan after(store_result result, core::duration took) const;

    friend auto operator<=>(const store_query_plan&, const store_query_plan&) = default;

private:
    [[nodiscard]] store_query_plan after_complete(core::duration took) const;
    [[nodiscard]] store_query_plan after_late() const;

    core::duration shortest_wait_;
    core::duration answer_within_;
    store_query next_ = store_query::listing;
    std::uint32_t late_in_a_row_ = 0;
};

} // namespace ej::forwarding
