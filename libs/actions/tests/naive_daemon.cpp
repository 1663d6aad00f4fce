#include "naive_daemon.h"

namespace ej::actions::model {

void naive_daemon::submit(const request& wanted, std::optional<claim_nonce> /*forwarded*/,
                          const teller& tell)
{
    const auto look_up = [=, this, &fleet = fleet_]() -> std::function<void()> {
        const bool seen = fleet.shared_set.contains(wanted.key);
        return [=, this] { seen ? tell(ran({})) : send(wanted, tell, 3); };
    };
    fleet_.call_store(at_, look_up,
                      [=] { tell(not_run(core::refusal_reason::platform_unavailable)); });
}

void naive_daemon::send(const request& wanted, const teller& tell, int tries)
{
    if (tries == 0) {
        tell(not_run(core::refusal_reason::no_endpoint));
        return;
    }
    const auto again = [=, this] { send(wanted, tell, tries - 1); };
    const auto serve = [=, &fleet = fleet_]() -> std::function<void()> {
        const auto result = fleet.execute(wanted);
        fleet.shared_set.insert(wanted.key);
        return result ? std::function<void()>([=] { tell(ran(result)); }) : again;
    };
    fleet_.call(at_, serve, again);
}

} // namespace ej::actions::model
