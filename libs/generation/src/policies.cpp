#include <generation/policies.h>

#include "ask_first.h"
#include "restart_at_once.h"

#include <algorithm>

namespace ej::generation {

namespace {

// Shares of the resume target; the rest is for placing, the prefix and the first token.
constexpr int silence_share = 3;
constexpr int answer_share = 6;

// Below this an engine that pauses for a moment would be taken for lost.
constexpr core::duration min_silence = std::chrono::milliseconds(150);
constexpr core::duration min_answer = std::chrono::milliseconds(50);

// From this much allowed extra work on, a silent engine is not asked first.
constexpr std::uint32_t generous_extra_work_percent = 20;

constexpr std::uint32_t max_restarts_unasked = 2;

core::duration silence_of(const core::work_target& target)
{
    return std::max<core::duration>(target.resume / silence_share, min_silence);
}

core::duration answer_of(const core::work_target& target)
{
    return std::max<core::duration>(target.resume / answer_share, min_answer);
}

} // namespace

ask_first::ask_first(const core::work_target& target)
    : silence_bound_(silence_of(target)), answer_bound_(answer_of(target))
{
}

bool ask_first::asks_first(cause, std::uint32_t) const
{
    return true;
}

restart_at_once::restart_at_once(const core::work_target& target)
    : silence_bound_(silence_of(target)), answer_bound_(answer_of(target))
{
}

// A broken connection is answered within a round trip, so asking costs no time worth saving. After
// two restarts the engines are slow rather than lost, and each further one would add to their work.
bool restart_at_once::asks_first(cause why, std::uint32_t restarts) const
{
    return why == cause::connection_lost || restarts >= max_restarts_unasked;
}

std::shared_ptr<const loss_policy> policy_for(const core::work_target& target)
{
    if (target.extra_work_percent >= generous_extra_work_percent) {
        return std::make_shared<restart_at_once>(target);
    }
    return std::make_shared<ask_first>(target);
}

} // namespace ej::generation
