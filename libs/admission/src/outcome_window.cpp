#include <admission/outcome_window.h>

#include <chrono>

namespace ej::admission {

namespace {

std::int64_t second_of(core::instant now)
{
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

void outcome_window::add(bool met, core::instant now)
{
    const std::int64_t number = second_of(now);
    second& entry = seconds_.at(static_cast<std::size_t>(number) % length_seconds);
    if (entry.number != number) {
        entry = {.number = number};
    }
    ++(met ? entry.met : entry.missed);
}

double outcome_window::missed_share(core::instant now) const
{
    const std::int64_t oldest = second_of(now) - static_cast<std::int64_t>(length_seconds);
    std::uint64_t all = 0;
    std::uint64_t missed = 0;
    for (const second& entry : seconds_) {
        const bool recent = entry.number > oldest;
        all += recent ? entry.met + entry.missed : 0;
        missed += recent ? entry.missed : 0;
    }
    return all == 0 ? 0 : static_cast<double>(missed) / static_cast<double>(all);
}

} // namespace ej::admission
