#include <generation/policies.h>

#include "check_before_restart.h"
#include "restart_immediately.h"

#include <algorithm>

namespace ej::generation {

namespace {

// The timeouts are the resume target divided by these. The rest of the target is left for placing,
// the prefix and the first token.
constexpr int silence_timeout_divisor = 3;
constexpr int check_timeout_divisor = 6;

// With shorter timeouts, an engine that pauses briefly would be treated as lost.
constexpr core::duration min_silence_timeout = std::chrono::milliseconds(150);
constexpr core::duration min_check_timeout = std::chrono::milliseconds(50);

// If the target allows at least this much extra work, a silent engine is not checked first.
constexpr std::uint32_t min_immediate_restart_percent = 20;

constexpr std::uint32_t max_immediate_restarts = 2;

core::duration silence_timeout_for(const core::work_target& target)
{
    return std::max<core::duration>(target.resume / silence_timeout_divisor, min_silence_timeout);
}

core::duration check_timeout_for(const core::work_target& target)
{
    return std::max<core::duration>(target.resume / check_timeout_divisor, min_check_timeout);
}

} // namespace

check_before_restart::check_before_restart(const core::work_target& target)
    : silence_timeout_(silence_timeout_for(target)), check_timeout_(check_timeout_for(target))
{
}

bool check_before_restart::checks_before_restart(cause, std::uint32_t) const
{
    return true;
}

restart_immediately::restart_immediately(const core::work_target& target)
    : silence_timeout_(silence_timeout_for(target)), check_timeout_(check_timeout_for(target))
{
}

// After a lost connection, the check is answered within a round trip, so skipping it would save
// little time. After two restarts, the engines are probably slow rather than lost, and each further
// restart would add to their load.
bool restart_immediately::checks_before_restart(cause why, std::uint32_t restarts) const
{
    return why == cause::connection_lost || restarts >= max_immediate_restarts;
}

std::shared_ptr<const loss_policy> policy_for(const core::work_target& target)
{
    if (target.extra_work_percent >= min_immediate_restart_percent) {
        return std::make_shared<restart_immediately>(target);
    }
    return std::make_shared<check_before_restart>(target);
}

} // namespace ej::generation
