#include "json.h"

#include <wire/vm_list.h>

#include <algorithm>
#include <optional>

namespace ej::wire {

namespace {

std::string text_or_empty(const json& entry, const char* name)
{
    const auto found = entry.find(name);
    return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<core::endpoint> parse_endpoint(const json& entry)
{
    if (!entry.is_object() || text_or_empty(entry, "state") != "live") {
        return std::nullopt;
    }
    const auto where = core::parse_address(text_or_empty(entry, "address"));
    core::endpoint endpoint;
    endpoint.name = core::endpoint_id(text_or_empty(entry, "endpoint"));
    if (!where || endpoint.name.empty()) {
        return std::nullopt;
    }
    endpoint.incarnation = core::incarnation_id(text_or_empty(entry, "incarnation"));
    endpoint.domain = core::failure_domain_id(text_or_empty(entry, "domain"));
    endpoint.service = core::service_id(text_or_empty(entry, "service"));
    endpoint.where = *where;
    const auto slots = entry.find("slots");
    if (slots != entry.end() && slots->is_number_unsigned()) {
        endpoint.slots = std::max(1U, slots->get<std::uint32_t>());
    }
    const auto fencing = entry.find("checks_fencing");
    endpoint.checks_fencing =
        fencing != entry.end() && fencing->is_boolean() && fencing->get<bool>();
    return endpoint;
}

} // namespace

absl::StatusOr<std::vector<core::endpoint>> parse_vm_list(std::string_view text)
{
    const auto body = parse_json(text);
    if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array()) {
        return absl::InvalidArgumentError("answer has no list of VMs");
    }
    std::vector<core::endpoint> endpoints;
    for (const auto& entry : body["vms"]) {
        if (auto endpoint = parse_endpoint(entry)) {
            endpoints.push_back(*std::move(endpoint));
        }
    }
    return endpoints;
}

} // namespace ej::wire
