#include <membership/list_pacing.h>

#include <algorithm>
#include <chrono>

namespace ej::membership {

namespace {

constexpr std::size_t list_bytes_per_second = 2'000;
constexpr std::chrono::milliseconds min_list_interval{1'000};

} // namespace

core::duration list_interval(std::size_t list_bytes)
{
    constexpr std::size_t milliseconds_per_second = 1'000;
    const std::chrono::milliseconds paced(list_bytes * milliseconds_per_second /
                                          list_bytes_per_second);
    return std::max(paced, min_list_interval);
}

} // namespace ej::membership
