#include "rules_table.h"

namespace ej::actions {

namespace {

constexpr std::size_t column(event_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

constinit const std::array<action_rules::table::row, action_phase_count> action_rules::table::rows =
    [] {
        using rules = action_rules;
        using enum event_kind;
        std::array<row, action_phase_count> all{};
        for (row& each : all) {
            each.fill(&rules::ignore);
        }
        const auto on = [&](action_phase phase, event_kind kind, handler handle) {
            all.at(static_cast<std::size_t>(phase)).at(column(kind)) = handle;
        };
        on(action_phase::fresh, submitted, &rules::start);

        on(action_phase::claiming, submitted, &rules::join_claim);
        on(action_phase::claiming, bound, &rules::begin_owned);
        on(action_phase::claiming, bind_conflict, &rules::forward_waiters);
        on(action_phase::claiming, bind_stale, &rules::finish_unknown);
        on(action_phase::claiming, bind_failed, &rules::give_up_claim);
        on(action_phase::claiming, deadline, &rules::expire_claim);

        on(action_phase::claim_abandoned, submitted, &rules::reclaim);
        on(action_phase::claim_abandoned, bind_conflict, &rules::forward_waiters);
        on(action_phase::claim_abandoned, bind_stale, &rules::finish_unknown);

        on(action_phase::connecting, submitted, &rules::join);
        on(action_phase::connecting, rejected, &rules::reject);
        on(action_phase::connecting, connected, &rules::send);
        on(action_phase::connecting, connect_failed, &rules::retry);
        on(action_phase::connecting, deadline, &rules::expire_unsent);

        on(action_phase::sent, submitted, &rules::join);
        on(action_phase::sent, answered, &rules::finish);
        on(action_phase::sent, answered_not_run, &rules::retry);
        on(action_phase::sent, connection_lost, &rules::handle_connection_loss);
        on(action_phase::sent, deadline, &rules::expire_waiters);

        on(action_phase::ran, submitted, &rules::repeat_outcome);
        on(action_phase::ran, result_dropped, &rules::drop_result);
        on(action_phase::refused, submitted, &rules::repeat_outcome);
        on(action_phase::unknown, submitted, &rules::repeat_outcome);
        on(action_phase::owned_elsewhere, submitted, &rules::forward_to_owner);
        return all;
    }();

} // namespace ej::actions
