#include <suspects/refusal_pause.h>

#include <algorithm>

namespace ej::suspects {

core::duration refusal_pause(core::duration since_evidence)
{
    // A hold by mistake usually ends soon after it begins, or with the next trial. Callers that
    // wait as long as that took so far come few times, and at most twice as late as they could.
    return std::clamp<core::duration>(since_evidence, shortest_refusal_pause,
                                      longest_refusal_pause);
}

} // namespace ej::suspects
