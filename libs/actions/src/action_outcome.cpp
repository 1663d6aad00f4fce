#include <actions/action_outcome.h>

#include <utility>

namespace ej::actions {

action_outcome ran(std::optional<action_result> result)
{
    return {outcome_kind::ran, std::move(result), {}, {}};
}

action_outcome not_run(core::refusal_reason reason)
{
    return {outcome_kind::not_run, {}, reason, {}};
}

action_outcome unknown(unknown_reason reason)
{
    return {outcome_kind::unknown, {}, {}, reason};
}

} // namespace ej::actions
