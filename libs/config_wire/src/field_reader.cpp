#include "field_reader.h"

#include <utility>

namespace ej::config_wire {

namespace {

const json nothing;

} // namespace

field_reader::field_reader(const json& object, std::string place, core::findings& found)
    : object_(object), place_(std::move(place)), found_(found)
{
    if (!object_.is_object()) {
        found_.add(place_.empty() ? "body" : place_, "must be an object");
    }
}

bool field_reader::has(const std::string& name) const
{
    return object_.is_object() && object_.contains(name);
}

const json& field_reader::part(const std::string& name) const
{
    return has(name) ? object_.at(name) : nothing;
}

std::string field_reader::place_of(const std::string& name) const
{
    return place_.empty() ? name : place_ + '.' + name;
}

void field_reader::fault(const std::string& name, std::string message) const
{
    found_.add(place_of(name), std::move(message));
}

std::string field_reader::text(const std::string& name) const
{
    if (!has(name)) {
        fault(name, "missing");
    }
    return text(name, {});
}

std::string field_reader::text(const std::string& name, std::string otherwise) const
{
    const json& value = part(name);
    if (value.is_null()) {
        return otherwise;
    }
    if (!value.is_string()) {
        fault(name, "must be a text");
        return otherwise;
    }
    return value.get<std::string>();
}

std::uint64_t field_reader::number(const std::string& name, std::uint64_t otherwise,
                                   std::uint64_t max) const
{
    const json& value = part(name);
    if (value.is_null()) {
        return otherwise;
    }
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        fault(name, "must be a whole number from 0 to " + std::to_string(max));
        return otherwise;
    }
    return value.get<std::uint64_t>();
}

std::chrono::milliseconds field_reader::time(const std::string& name,
                                             std::chrono::milliseconds otherwise) const
{
    constexpr std::chrono::milliseconds longest = std::chrono::hours(24);
    const auto otherwise_ms = static_cast<std::uint64_t>(otherwise.count());
    const auto longest_ms = static_cast<std::uint64_t>(longest.count());
    return std::chrono::milliseconds(number(name, otherwise_ms, longest_ms));
}

} // namespace ej::config_wire
