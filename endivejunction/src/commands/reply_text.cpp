#include "reply_text.h"

#include <nlohmann/json.hpp>

#include <array>

namespace ej::commands {

namespace {

using json = nlohmann::json;

json parse(const std::string& body)
{
    return json::parse(body, nullptr, false);
}

std::string to_plain_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void append_pairs(std::string& line, const json& object)
{
    for (const auto& [name, value] : object.items()) {
        if (value.is_object()) {
            append_pairs(line, value);
            continue;
        }
        line += (line.empty() ? "" : " ") + name + '=' + to_plain_text(value);
    }
}

std::string pairs(const json& object)
{
    std::string line;
    append_pairs(line, object);
    return line;
}

json field_of(const json& value, const std::string& name)
{
    return value.is_object() && value.contains(name) ? value.at(name) : json();
}

} // namespace

std::optional<std::uint64_t> revision_of(const std::string& body)
{
    const json revision = field_of(parse(body), "revision");
    return revision.is_number_unsigned() ? std::optional(revision.get<std::uint64_t>())
                                         : std::nullopt;
}

std::string revision_text(const std::string& body)
{
    const auto revision = revision_of(body);
    return "revision " + (revision ? std::to_string(*revision) : "not reported");
}

std::string lines_text(const std::string& body, const std::string& field)
{
    std::string text = revision_text(body);
    for (const json& one : field_of(parse(body), field)) {
        text += '\n' + pairs(one);
    }
    return text;
}

std::string status_text(const std::string& body)
{
    const json status = parse(body);
    std::string text = "vm=" + to_plain_text(field_of(status, "vm")) +
                       " domain=" + to_plain_text(field_of(status, "domain")) +
                       " ready=" + to_plain_text(field_of(status, "ready")) +
                       " draining=" + to_plain_text(field_of(status, "draining")) +
                       " in_flight=" + to_plain_text(field_of(status, "in_flight"));
    text += "\nconfiguration " + pairs(field_of(status, "configuration"));
    static const std::array<std::pair<std::string, std::string>, 3> lists{
        {{"class", "classes"}, {"endpoint", "endpoints"}, {"member", "members"}}};
    for (const auto& [label, field] : lists) {
        for (const json& one : field_of(status, field)) {
            text += '\n' + label + ' ' + pairs(one);
        }
    }
    return text + "\nrefusals " + pairs(field_of(status, "refusals"));
}

std::string error_text(const std::string& body)
{
    const json answer = parse(body);
    const json error = field_of(answer, "error");
    if (!error.is_string()) {
        return body;
    }
    std::string text = error.get<std::string>();
    if (revision_of(body).value_or(0) > 0) {
        text += ": the object is at " + revision_text(body);
    }
    for (const json& one : field_of(answer, "findings")) {
        text += '\n' + to_plain_text(field_of(one, "place")) + ": " +
                to_plain_text(field_of(one, "message"));
    }
    return text;
}

} // namespace ej::commands
