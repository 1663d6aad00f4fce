#include <config_wire/object_codec.h>

#include "change_json.h"
#include "object_json.h"
#include "parse.h"

#include <utility>

namespace ej::config_wire {

namespace {

json with_revision(json value, core::revision revision)
{
    value["revision"] = revision.value();
    return value;
}

// The field `name` of the whole configuration together with the revision.
std::string encode_part(const config::configuration& value, const std::string& name)
{
    const json whole = configuration_to_json(value);
    return json{{"revision", whole.at("revision")}, {name, whole.at(name)}}.dump();
}

} // namespace

std::string encode_class(const config::versioned<core::work_class>& value)
{
    return with_revision(class_to_json(value.value), value.changed).dump();
}

absl::StatusOr<core::work_class> parse_class(std::string_view text,
                                             const core::work_class& defaults)
{
    return parse_text(
        text, [&](const field_reader& fields) { return class_from_json(fields, defaults); });
}

std::string encode_workspace(const config::versioned<config::workspace>& value)
{
    return with_revision(workspace_to_json(value.value), value.changed).dump();
}

absl::StatusOr<config::workspace> parse_workspace(std::string_view text,
                                                  const config::workspace& defaults)
{
    return parse_text(
        text, [&](const field_reader& fields) { return workspace_from_json(fields, defaults); });
}

std::string encode_classes(const config::configuration& value)
{
    return encode_part(value, "classes");
}

std::string encode_workspaces(const config::configuration& value)
{
    return encode_part(value, "workspaces");
}

} // namespace ej::config_wire
