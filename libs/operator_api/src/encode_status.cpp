#include "encode_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace ej::operator_api {

namespace {

using json = nlohmann::json;

json to_json(const class_status& item)
{
    return {{"name", item.name.text()},
            {"waiting", item.waiting},
            {"oldest_waiting_ms", item.oldest_waiting.count()},
            {"meets_target", item.meets_target}};
}

json to_json(const endpoint_status& item)
{
    return {{"name", item.name.text()},
            {"domain", item.domain.text()},
            {"service", item.service.text()},
            {"takes_work", item.takes_work}};
}

json to_json(const member_status& item)
{
    return {{"vm", item.vm.text()},
            {"domain", item.domain.text()},
            {"revision_in_force", item.in_force.value()}};
}

json to_json(const config::follower_status& item)
{
    json value{{"revision_in_force", item.in_force.value()},
               {"newest_known", item.newest_known.value()},
               {"behind", item.behind},
               {"platform_behind", item.platform_behind},
               {"diverged", item.diverged},
               {"watching", item.watching}};
    if (item.contact_age) {
        value["platform_contact_age_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(*item.contact_age).count();
    }
    return value;
}

template <class T>
json list(const std::vector<T>& values)
{
    json all = json::array();
    std::ranges::transform(values, std::back_inserter(all),
                           [](const T& item) { return to_json(item); });
    return all;
}

json refusals_by_reason(const std::vector<refusal_count>& refusals)
{
    json counts = json::object();
    for (const refusal_count& item : refusals) {
        counts[std::string(to_string(item.reason))] = item.count;
    }
    return counts;
}

} // namespace

std::string encode_status(const daemon_status& status)
{
    const json value{
        {"vm", status.vm.text()},          {"domain", status.domain.text()},
        {"ready", status.ready},           {"draining", status.draining},
        {"in_flight", status.in_flight},   {"configuration", to_json(status.configuration)},
        {"classes", list(status.classes)}, {"endpoints", list(status.endpoints)},
        {"members", list(status.members)}, {"refusals", refusals_by_reason(status.refusals)}};
    return value.dump();
}

std::string encode_revision(core::revision revision)
{
    return json{{"revision", revision.value()}}.dump();
}

std::string encode_error(const std::string& error, core::revision revision,
                         const core::findings& faults)
{
    json value{{"error", error}, {"revision", revision.value()}, {"findings", json::array()}};
    for (const core::finding& item : faults.list()) {
        value["findings"].push_back({{"place", item.place}, {"message", item.message}});
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace ej::operator_api
