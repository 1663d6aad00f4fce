#include <forwarding/resume_pause.h>

#include <algorithm>
#include <array>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;

// The longest pause bounds how late a stream goes on after an engine has become free; each look
// at a full engine is charged to the retry budget.
constexpr std::array pauses_in_turn{milliseconds(100), milliseconds(200), milliseconds(400),
                                    milliseconds(800)};

} // namespace

milliseconds resume_pause(std::uint32_t pauses)
{
    return pauses_in_turn.at(std::min<std::size_t>(pauses, pauses_in_turn.size() - 1));
}

} // namespace ej::forwarding
