#include "store_follower.h"

#include "clock.h"

#include <logging/log.h>

#include <rollout/rollout_record.h>

#include <chrono>
#include <set>
#include <string>

namespace ej::front {

void store_follower::apply_order(const core::service_id& service, const platform::store_item& item)
{
    if (!item.value) {
        context_.rollouts.remove_order(service, item.revision);
        logging::log(logging::level::info, "roll-out withdrawn", {{"service", service.text()}});
        context_.rollouts_changed();
        return;
    }
    const auto order = layout_.parse_rollout_order(service, *item.value, item.revision);
    if (!order.ok()) {
        context_.metrics.count("rollout_faults_total", {});
        logging::log(
            logging::level::warn, "order of a roll-out rejected",
            {{"service", service.text()}, {"error", std::string(order.status().message())}});
        return;
    }
    if (context_.rollouts.put_order(*order, now())) {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(order->time);
        logging::log(logging::level::info, "roll-out ordered",
                     {{"service", service.text()},
                      {"target", order->target.text()},
                      {"time_s", std::to_string(seconds.count())},
                      {"revision", std::to_string(item.revision.value())}});
        context_.rollouts_changed();
    }
}

void store_follower::apply_rollout(const core::service_id& service,
                                   const platform::store_item& item)
{
    const auto record = item.value ? rollout::parse_record(*item.value) : std::nullopt;
    if (!item.value) {
        context_.rollouts.remove_record(service, item.revision);
    }
    else if (!record) {
        context_.metrics.count("rollout_faults_total", {});
        logging::log(logging::level::warn, "record of a roll-out rejected",
                     {{"service", service.text()}});
    }
    else if (context_.rollouts.put_record(service, *record, item.revision, now())) {
        context_.metrics.set("rollout_share",
                             {{"service", service.text()}, {"version", record->target.text()}},
                             double(record->to_target) / double(rollout::whole_share));
        logging::log(logging::level::info, "roll-out at step",
                     {{"service", service.text()},
                      {"target", record->target.text()},
                      {"phase", std::string(to_string(record->phase))},
                      {"share", std::to_string(record->to_target)}});
    }
    context_.rollouts_changed();
}

/// Removes the orders and records that a complete listing lacks.
void store_follower::retain_rollouts(const platform::store_listing& listing)
{
    std::set<core::service_id> ordered;
    std::set<core::service_id> recorded;
    for (const platform::store_item& item : listing.items) {
        if (const auto service = layout_.ordered_service_of(item.key)) {
            ordered.insert(*service);
        }
        else if (const auto rolled_out = layout_.rolled_out_service_of(item.key)) {
            recorded.insert(*rolled_out);
        }
    }
    context_.rollouts.retain(ordered, recorded, listing.as_of);
    context_.rollouts_changed();
}

} // namespace ej::front
