#include "action_validator.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <string>

namespace ej::config {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::uint32_t max_waiting_per_daemon = 100'000;
constexpr std::uint32_t whole_percent = 100;
constexpr std::uint64_t whole_fleet_ppm = 1'000'000;

bool valid_name_character(char character)
{
    const bool letter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '_' || character == '.';
}

// Names are used in paths of the operator interface and in labels of metrics.
void check_name(core::findings& found, const std::string& place, const std::string& name)
{
    if (name.empty() || name.size() > max_name_length ||
        !std::ranges::all_of(name, valid_name_character)) {
        found.add(place, "must be 1 to 64 letters, digits, '-', '_' or '.'");
    }
}

void check_positive(core::findings& found, const std::string& place,
                    std::chrono::milliseconds value)
{
    if (value <= std::chrono::milliseconds::zero()) {
        found.add(place, "must be greater than 0 ms");
    }
}

void check_target(core::findings& found, const core::work_target& target)
{
    check_positive(found, "target.first_token_ms", target.first_token);
    check_positive(found, "target.finish_ms", target.finish);
    check_positive(found, "target.resume_ms", target.resume);
    if (target.max_waiting == 0 || target.max_waiting > max_waiting_per_daemon) {
        found.add("target.max_waiting", "must be 1 to 100000 requests");
    }
    if (target.extra_work_percent > whole_percent) {
        found.add("target.extra_work_percent", "must be 0 to 100");
    }
}

std::uint64_t share_of_others(const configuration& before, const core::workspace_id& name)
{
    const auto add_share = [&](std::uint64_t sum, const auto& entry) {
        return entry.first == name ? sum : sum + entry.second.value.share_ppm;
    };
    const auto& all = before.workspaces();
    return std::accumulate(all.begin(), all.end(), std::uint64_t{0}, add_share);
}

} // namespace

void action_validator::operator()(const put_class& what) const
{
    check_name(found, "name", what.value.name.text());
    check_name(found, "service", what.value.service.text());
    check_target(found, what.value.target);
}

void action_validator::operator()(const delete_class& what) const
{
    if (!before.classes().contains(what.name)) {
        found.add("name", "no such class");
    }
}

void action_validator::operator()(const put_workspace& what) const
{
    check_name(found, "name", what.value.name.text());
    if (share_of_others(before, what.value.name) + what.value.share_ppm > whole_fleet_ppm) {
        found.add("share_ppm", "shares of all workspaces exceed 1000000");
    }
}

void action_validator::operator()(const delete_workspace& what) const
{
    if (!before.workspaces().contains(what.name)) {
        found.add("name", "no such workspace");
    }
}

} // namespace ej::config
