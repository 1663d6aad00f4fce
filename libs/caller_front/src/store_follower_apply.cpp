#include "store_follower.h"

#include "clock.h"
#include "leaving_record.h"
#include "stored_hold.h"
#include "stored_suspect.h"

#include <forwarding/services_named_by.h>

#include <logging/log.h>

#include <string>
#include <utility>

namespace ej::front {

/// True if the item changes the known state, or may be needed by a daemon that lacks it.
bool store_follower::apply(const platform::store_item& item)
{
    if (item.key == layout_.rules_key()) {
        if (item.value) {
            apply_rules(*item.value);
        }
        return true;
    }
    if (const auto name = layout_.endpoint_of(item.key)) {
        return apply_endpoint(*name, item);
    }
    if (item.key.starts_with(layout_.daemons_prefix())) {
        apply_daemon(item);
        return true;
    }
    if (const auto part = layout_.held_part_of(item.key)) {
        apply_held_part(*part, item);
        return true;
    }
    if (const auto request = layout_.suspect_of(item.key)) {
        apply_suspect(*request, item);
        return true;
    }
    if (const auto service = layout_.ordered_service_of(item.key)) {
        apply_order(*service, item);
        return true;
    }
    if (const auto service = layout_.rolled_out_service_of(item.key)) {
        apply_rollout(*service, item);
        return true;
    }
    return false;
}

void store_follower::apply_held_part(suspects::part_digest part, const platform::store_item& item)
{
    if (!item.value) {
        context_.holds_in_store.erase(part);
        return;
    }
    const auto trials = parse_stored_hold(*item.value);
    if (!trials) {
        context_.metrics.count("held_part_faults_total", {});
        logging::log(logging::level::warn, "entry of a held part rejected", {{"key", item.key}});
        return;
    }
    context_.holds_in_store[part] = {*trials, now()};
    context_.parts.apply_stored(part, *trials);
}

void store_follower::apply_suspect(suspects::request_digest request,
                                   const platform::store_item& item)
{
    if (!item.value) {
        context_.suspects_in_store.erase(request);
        context_.evidence_changed();
        return;
    }
    auto deaths = parse_stored_suspect(*item.value, time_of_day());
    if (!deaths) {
        context_.metrics.count("suspect_faults_total", {});
        logging::log(logging::level::warn, "entry of a suspect rejected", {{"key", item.key}});
        return;
    }
    if (context_.suspects.restore({request, *deaths}, now())) {
        context_.metrics.count("suspects_restored_total", {});
        logging::log(logging::level::info, "deaths learnt from the store",
                     {{"key", item.key}, {"deaths", std::to_string(deaths->size())}});
    }
    context_.suspects_in_store[request] = {*std::move(deaths), now()};
    context_.evidence_changed();
}

void store_follower::apply_daemon(const platform::store_item& item)
{
    const bool own = item.key == layout_.daemon_key(context_.settings.vm);
    const auto value = item.value && !own ? parse_daemon_record(*item.value) : std::nullopt;
    if (value) {
        daemons_[item.key] = *value;
    }
    else {
        daemons_.erase(item.key);
    }
    peers_changed_ = true;
}

void store_follower::apply_rules(const std::string& value)
{
    core::findings faults;
    auto rules = layout_.parse_rules(value, faults);
    for (const core::finding& fault : faults.list()) {
        context_.metrics.count("configuration_faults_total", {});
        logging::log(logging::level::warn, "invalid part of configuration",
                     {{"place", fault.place}, {"fault", fault.message}});
    }
    if (!rules.ok()) {
        context_.metrics.count("configuration_faults_total", {});
        logging::log(logging::level::warn, "configuration rejected",
                     {{"error", std::string(rules.status().message())}});
        return;
    }
    const auto known = *context_.rules.load();
    if (known != nullptr && rules->version <= known->rules().version) {
        return;
    }
    changed_ = log_.name_services(forwarding::services_named_by(*rules), now()) || changed_;
    const auto version = rules->version;
    const auto routes = rules->routes.size();
    const auto idle = rules->limits.idle_timeout;
    context_.rules.store(std::make_shared<const forwarding::indexed_ruleset>(*std::move(rules)));
    context_.metrics.set("configuration_version", {}, double(version.value()));
    logging::log(
        logging::level::info, "configuration in force",
        {{"version", std::to_string(version.value())},
         {"before", known == nullptr ? "none" : std::to_string(known->rules().version.value())},
         {"routes", std::to_string(routes)},
         {"idle_ms", std::to_string(idle.count())}});
}

bool store_follower::apply_endpoint(const core::endpoint_id& name, const platform::store_item& item)
{
    if (!item.value) {
        if (log_.remove(name, item.revision, now())) {
            changed_ = true;
            logging::log(
                logging::level::info, "endpoint removed",
                {{"endpoint", name.text()}, {"revision", std::to_string(item.revision.value())}});
        }
        return true;
    }
    auto record = layout_.parse_endpoint(name, *item.value);
    if (!record.ok()) {
        // A new listing returns entries that have not changed.
        if (!log_.is_unreadable(name, item.revision)) {
            context_.metrics.count("endpoint_faults_total", {});
            logging::log(
                logging::level::warn, "endpoint registration rejected",
                {{"endpoint", name.text()}, {"error", std::string(record.status().message())}});
        }
        const bool accepted = log_.put(name, std::nullopt, item.revision);
        changed_ = accepted || changed_;
        return accepted;
    }
    const bool in_use = log_.names(record->what.service);
    const bool leaving = record->leaving;
    const forwarding::leaving_evidence seen{forwarding::run_of(record->what),
                                            forwarding::leaving_source::registration};
    const bool begins_to_leave = in_use && leaving && !context_.endpoints.is_leaving(seen.run);
    const auto address = core::to_string(record->what.where);
    const bool changed = log_.put(name, *std::move(record), item.revision);
    if (begins_to_leave) {
        report_leaving(context_, seen);
    }
    if (!changed) {
        return false;
    }
    changed_ = true;
    logging::log(logging::level::info, "endpoint added or updated",
                 {{"endpoint", name.text()},
                  {"address", address},
                  {"state", leaving ? "leaving" : "ready"},
                  {"service", in_use ? "named" : "not named by the configuration"},
                  {"revision", std::to_string(item.revision.value())}});
    return true;
}

} // namespace ej::front
