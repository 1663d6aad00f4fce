#include "encode_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace ej::operator_api {

namespace {

using json = nlohmann::json;

json to_json(const class_status& one)
{
    return {{"name", one.name.text()},
            {"waiting", one.waiting},
            {"oldest_waiting_ms", one.oldest_waiting.count()},
            {"meets_target", one.meets_target}};
}

json to_json(const endpoint_status& one)
{
    return {{"name", one.name.text()},
            {"domain", one.domain.text()},
            {"service", one.service.text()},
            {"takes_work", one.takes_work}};
}

json to_json(const member_status& one)
{
    return {{"vm", one.vm.text()},
            {"domain", one.domain.text()},
            {"revision_in_force", one.in_force.value()}};
}

json to_json(const config::follower_status& one)
{
    json value{{"revision_in_force", one.in_force.value()},
               {"newest_known", one.newest_known.value()},
               {"behind", one.behind},
               {"platform_behind", one.platform_behind},
               {"diverged", one.diverged},
               {"watching", one.watching}};
    if (one.contact_age) {
        value["platform_contact_age_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(*one.contact_age).count();
    }
    return value;
}

template <class T>
json list(const std::vector<T>& values)
{
    json all = json::array();
    std::ranges::transform(values, std::back_inserter(all),
                           [](const T& one) { return to_json(one); });
    return all;
}

json refusals_by_reason(const std::vector<refusal_count>& refusals)
{
    json counts = json::object();
    for (const refusal_count& one : refusals) {
        counts[std::string(to_string(one.reason))] = one.count;
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
    for (const core::finding& one : faults.list()) {
        value["findings"].push_back({{"place", one.place}, {"message", one.message}});
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace ej::operator_api
