#include "answers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace ej::platform {

namespace {

using json = nlohmann::json;

// The JSON library's accessors throw when a field is missing or has another type.
template <class Read>
auto read_body(const std::string& body, Read read) -> absl::StatusOr<decltype(read(json()))>
{
    try {
        return read(json::parse(body));
    }
    catch (const json::exception& error) {
        return absl::InternalError(std::string("platform answer is invalid: ") + error.what());
    }
}

kv_entry entry_of(const json& value)
{
    return {value.at("value").get<std::string>(),
            core::revision(value.at("revision").get<std::uint64_t>())};
}

vm_role role_of(const std::string& name)
{
    static const std::array<std::pair<std::string, vm_role>, 3> roles{
        {{"daemon", vm_role::daemon},
         {"engine", vm_role::engine},
         {"application", vm_role::application}}};
    const auto* const known =
        std::ranges::find(roles, name, &std::pair<std::string, vm_role>::first);
    return known == roles.end() ? vm_role::other : known->second;
}

vm_record vm_of(const json& value)
{
    vm_record record;
    record.vm = core::vm_id(value.at("vm").get<std::string>());
    record.role = role_of(value.at("role").get<std::string>());
    record.leaving = value.value("state", "live") == "leaving";
    record.what.name = core::endpoint_id(value.value("endpoint", ""));
    record.what.incarnation = core::incarnation_id(value.value("incarnation", ""));
    record.what.domain = core::failure_domain_id(value.value("domain", ""));
    record.what.service = core::service_id(value.value("service", ""));
    record.what.where = core::parse_address(value.value("address", "")).value_or(core::address{});
    record.what.slots = value.value("slots", 1U);
    record.what.checks_fencing = value.value("checks_fencing", false);
    return record;
}

template <class T, class Read>
std::vector<T> list_of(const json& values, Read read)
{
    std::vector<T> list;
    std::ranges::transform(values, std::back_inserter(list), read);
    return list;
}

} // namespace

absl::StatusOr<kv_entry> parse_entry(const std::string& body)
{
    return read_body(body, entry_of);
}

absl::StatusOr<core::revision> parse_revision(const std::string& body)
{
    return read_body(body, [](const json& value) {
        return core::revision(value.at("revision").get<std::uint64_t>());
    });
}

absl::StatusOr<std::vector<named_entry>> parse_entries(const std::string& body)
{
    const auto named = [](const json& value) {
        return named_entry{value.at("key").get<std::string>(), entry_of(value)};
    };
    return read_body(
        body, [&](const json& value) { return list_of<named_entry>(value.at("entries"), named); });
}

absl::StatusOr<lease_id> parse_lease(const std::string& body)
{
    return read_body(
        body, [](const json& value) { return lease_id(value.at("lease").get<std::string>()); });
}

absl::StatusOr<std::vector<vm_record>> parse_vms(const std::string& body)
{
    return read_body(body,
                     [](const json& value) { return list_of<vm_record>(value.at("vms"), vm_of); });
}

} // namespace ej::platform
