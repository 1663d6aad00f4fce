#include <rollout/answer_counts.h>

#include <algorithm>

namespace ej::rollout {

// A stream is counted by its first output and, if it was complete, by its end as well.
std::uint64_t answer_counts::answers() const
{
    return failed + std::max(first_output.total(), whole.total());
}

answer_counts& answer_counts::operator+=(const answer_counts& other)
{
    failed += other.failed;
    first_output += other.first_output;
    whole += other.whole;
    awaited += other.awaited;
    return *this;
}

} // namespace ej::rollout
