#include "naive_daemon.h"

namespace ej::actions::model {

void naive_daemon::submit(const request& wanted, std::optional<claim_nonce> /*forwarded*/,
                          const outcome_callback& on_outcome)
{
    const auto look_up = [=, this, &fleet = fleet_]() -> std::function<void()> {
        const bool seen = fleet.shared_set.contains(wanted.key);
        return [=, this] { seen ? on_outcome(ran({})) : send(wanted, on_outcome, 3); };
    };
    fleet_.call_store(at_, look_up,
                      [=] { on_outcome(not_run(core::refusal_reason::platform_unavailable)); });
}

void naive_daemon::send(const request& wanted, const outcome_callback& on_outcome, int tries)
{
    if (tries == 0) {
        on_outcome(not_run(core::refusal_reason::no_endpoint));
        return;
    }
    const auto again = [=, this] { send(wanted, on_outcome, tries - 1); };
    const auto serve = [=, &fleet = fleet_]() -> std::function<void()> {
        const auto result = fleet.execute(wanted);
        fleet.shared_set.insert(wanted.key);
        return result ? std::function<void()>([=] { on_outcome(ran(result)); }) : again;
    };
    fleet_.call(at_, serve, again);
}

} // namespace ej::actions::model
