#include "change_json.h"

#include "action_to_json.h"
#include "object_json.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ej::config_wire {

namespace {

using action_reader = config::action (*)(const field_reader&, const std::string&);

config::action read_put_class(const field_reader& fields, const std::string& name)
{
    const field_reader value(fields.child(name), fields.place_of(name), fields.faults());
    return config::put_class{class_from_json(value, {})};
}

config::action read_delete_class(const field_reader& fields, const std::string& name)
{
    return config::delete_class{core::class_id(fields.text(name))};
}

config::action read_put_workspace(const field_reader& fields, const std::string& name)
{
    const field_reader value(fields.child(name), fields.place_of(name), fields.faults());
    return config::put_workspace{workspace_from_json(value, {})};
}

config::action read_delete_workspace(const field_reader& fields, const std::string& name)
{
    return config::delete_workspace{core::workspace_id(fields.text(name))};
}

const std::array<std::pair<std::string, action_reader>, 4> readers{
    {{"put_class", &read_put_class},
     {"delete_class", &read_delete_class},
     {"put_workspace", &read_put_workspace},
     {"delete_workspace", &read_delete_workspace}}};

config::action action_from_json(const field_reader& fields)
{
    const auto* const known =
        std::ranges::find_if(readers, [&](const auto& reader) { return fields.has(reader.first); });
    if (known == readers.end()) {
        // Skipping an unknown action would let this daemon diverge from the configuration of the
        // others.
        fields.fault("action", "unknown");
        return config::delete_class{};
    }
    return known->second(fields, known->first);
}

json change_to_json(const config::committed_change& entry)
{
    json value{{"revision", entry.revision.value()},
               {"id", entry.made.id.text()},
               {"expected", entry.made.expected.value()}};
    std::visit(action_to_json{value}, entry.made.what);
    return value;
}

config::committed_change change_from_json(const field_reader& fields)
{
    return {core::revision(fields.number("revision")),
            {config::change_id(fields.text("id")), core::revision(fields.number("expected")),
             action_from_json(fields)}};
}

template <class Objects, class ToJson>
json objects_to_json(const Objects& objects, ToJson to_json)
{
    json list = json::array();
    for (const auto& [name, entry] : objects) {
        json value = to_json(entry.value);
        value["revision"] = entry.changed.value();
        list.push_back(std::move(value));
    }
    return list;
}

template <class Objects, class FromJson>
Objects objects_from_json(const field_reader& fields, const std::string& name, FromJson from_json)
{
    Objects objects;
    std::size_t index = 0;
    for (const json& element : fields.child(name)) {
        const std::string place = fields.place_of(name) + '[' + std::to_string(index++) + ']';
        const field_reader entry(element, place, fields.faults());
        const auto value = from_json(entry);
        objects[value.name] = {value, core::revision(entry.number("revision"))};
    }
    return objects;
}

} // namespace

json change_log_to_json(const config::change_log& log)
{
    json changes = json::array();
    std::ranges::transform(log.changes, std::back_inserter(changes), change_to_json);
    return {{"after", log.after.value()},
            {"history", log.history.value()},
            {"changes", std::move(changes)}};
}

config::change_log change_log_from_json(const field_reader& fields)
{
    config::change_log log{core::revision(fields.number("after")),
                           config::history_digest(fields.number("history")),
                           {}};
    for (const json& element : fields.child("changes")) {
        const std::string place =
            fields.place_of("changes") + '[' + std::to_string(log.changes.size()) + ']';
        const field_reader entry(element, place, fields.faults());
        const core::revision expected = log.last().next();
        log.changes.push_back(change_from_json(entry));
        if (log.changes.back().revision != expected) {
            entry.fault("revision", "must be the previous revision plus one");
        }
    }
    return log;
}

json configuration_to_json(const config::configuration& value)
{
    return {{"revision", value.revision().value()},
            {"history", value.history().value()},
            {"classes", objects_to_json(value.classes(), class_to_json)},
            {"workspaces", objects_to_json(value.workspaces(), workspace_to_json)}};
}

config::configuration configuration_from_json(const field_reader& fields)
{
    using config::configuration;
    return {core::revision(fields.number("revision")),
            config::history_digest(fields.number("history")),
            objects_from_json<configuration::class_map>(
                fields, "classes",
                [](const field_reader& entry) { return class_from_json(entry, {}); }),
            objects_from_json<configuration::workspace_map>(
                fields, "workspaces",
                [](const field_reader& entry) { return workspace_from_json(entry, {}); })};
}

} // namespace ej::config_wire
