#include <suspects/trial_pause.h>

#include <algorithm>
#include <chrono>

namespace ej::suspects {

namespace {

// A trial of a part that crashes endpoints costs one of them.
constexpr std::chrono::seconds first_pause{10};
constexpr std::chrono::seconds longest_pause{3'600};
constexpr int growth = 10;

} // namespace

core::duration trial_pause(std::uint32_t trials)
{
    core::duration pause = first_pause;
    for (; trials > 0 && pause < longest_pause; --trials) {
        pause *= growth;
    }
    return std::min<core::duration>(pause, longest_pause);
}

} // namespace ej::suspects
