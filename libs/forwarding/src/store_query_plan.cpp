#include <forwarding/store_query_plan.h>

#include <algorithm>

namespace ej::forwarding {

namespace {

// One late answer may have been lost, and is asked for again in the same way, so that a silent
// connection costs no more than one wait. A second one suggests that the store or the way to it is
// slow: asking in the same way again could go on without an end.
constexpr std::uint32_t lost_answers = 1;

// A longer wait would keep a daemon at its old state for too long once the store, or the way to it,
// is back: answers that were lost are waited for until its end.
constexpr int longest_factor = 3;

} // namespace

store_query_plan::store_query_plan(core::duration shortest_wait)
    : shortest_wait_(shortest_wait), answer_within_(shortest_wait)
{
}

store_query_plan store_query_plan::after(store_result result, core::duration took) const
{
    switch (result) {
    case store_result::complete:
        return after_complete(took);
    case store_result::late:
        return after_late();
    case store_result::compacted:
    case store_result::too_large: {
        auto plan = *this;
        plan.next_ = store_query::listing;
        plan.late_in_a_row_ = 0;
        return plan;
    }
    case store_result::unreachable:
        break;
    }
    return *this;
}

// The longer wait stays for as long as the store needs it.
store_query_plan store_query_plan::after_complete(core::duration took) const
{
    auto plan = *this;
    plan.next_ = store_query::changes;
    plan.late_in_a_row_ = 0;
    if (2 * took <= answer_within_) {
        plan.answer_within_ = std::max(shortest_wait_, answer_within_ / 2);
    }
    return plan;
}

store_query_plan store_query_plan::after_late() const
{
    auto plan = *this;
    if (++plan.late_in_a_row_ <= lost_answers) {
        return plan;
    }
    plan.next_ = store_query::listing; // A page is bounded, all changes at once are not.
    plan.answer_within_ = std::min(2 * answer_within_, longest_factor * shortest_wait_);
    return plan;
}

} // namespace ej::forwarding
