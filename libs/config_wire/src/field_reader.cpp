#include "field_reader.h"

#include <utility>

namespace ej::config_wire {

namespace {

const json null_value;

} // namespace

field_reader::field_reader(const json& object, std::string place, core::findings& faults)
    : object_(object), place_(std::move(place)), faults_(faults)
{
    if (!object_.is_object()) {
        faults_.add(place_.empty() ? "body" : place_, "must be an object");
    }
}

bool field_reader::has(const std::string& name) const
{
    return object_.is_object() && object_.contains(name);
}

const json& field_reader::child(const std::string& name) const
{
    return has(name) ? object_.at(name) : null_value;
}

std::string field_reader::place_of(const std::string& name) const
{
    return place_.empty() ? name : place_ + '.' + name;
}

void field_reader::fault(const std::string& name, std::string message) const
{
    faults_.add(place_of(name), std::move(message));
}

std::string field_reader::text(const std::string& name) const
{
    if (!has(name)) {
        fault(name, "missing");
    }
    return text(name, {});
}

std::string field_reader::text(const std::string& name, std::string fallback) const
{
    const json& value = child(name);
    if (value.is_null()) {
        return fallback;
    }
    if (!value.is_string()) {
        fault(name, "must be a string");
        return fallback;
    }
    return value.get<std::string>();
}

std::uint64_t field_reader::number(const std::string& name, std::uint64_t fallback,
                                   std::uint64_t max) const
{
    const json& value = child(name);
    if (value.is_null()) {
        return fallback;
    }
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        fault(name, "must be a whole number from 0 to " + std::to_string(max));
        return fallback;
    }
    return value.get<std::uint64_t>();
}

std::chrono::milliseconds field_reader::time(const std::string& name,
                                             std::chrono::milliseconds fallback) const
{
    constexpr std::chrono::milliseconds max_duration = std::chrono::hours(24);
    const auto fallback_ms = static_cast<std::uint64_t>(fallback.count());
    const auto max_duration_ms = static_cast<std::uint64_t>(max_duration.count());
    return std::chrono::milliseconds(number(name, fallback_ms, max_duration_ms));
}

} // namespace ej::config_wire
