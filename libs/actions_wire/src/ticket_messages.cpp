#include <actions_wire/ticket_messages.h>

#include <nlohmann/json.hpp>

namespace ej::actions_wire {

using nlohmann::json;

core::class_id parse_ticket_request(std::string_view body, core::findings& faults)
{
    const json whole = json::parse(body, nullptr, false);
    const auto found = whole.is_object() ? whole.find("class") : whole.end();
    if (!whole.is_object() || found == whole.end() || !found->is_string()) {
        faults.add("class", "a name is wanted");
        return {};
    }
    return core::class_id(found->get<std::string>());
}

std::string ticket_body(std::string_view key, std::chrono::milliseconds valid)
{
    return json{{"ticket", key}, {"valid_ms", valid.count()}}.dump();
}

} // namespace ej::actions_wire
