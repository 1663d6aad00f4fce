#include <actions_wire/ticket_messages.h>

#include <nlohmann/json.hpp>

namespace ej::actions_wire {

using nlohmann::json;

core::class_id parse_ticket_request(std::string_view body, core::findings& faults)
{
    const json object = json::parse(body, nullptr, false);
    const auto found = object.is_object() ? object.find("class") : object.end();
    if (!object.is_object() || found == object.end() || !found->is_string()) {
        faults.add("class", "must be a string");
        return {};
    }
    return core::class_id(found->get<std::string>());
}

std::string ticket_body(std::string_view key, std::chrono::milliseconds valid)
{
    return json{{"ticket", key}, {"valid_ms", valid.count()}}.dump();
}

} // namespace ej::actions_wire
