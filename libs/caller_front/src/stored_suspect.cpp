#include "stored_suspect.h"

#include <core/text.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <ranges>
#include <utility>

namespace ej::front {

namespace {

constexpr std::string_view layout = "1";
constexpr std::size_t fields_per_line = 4;

using kind_code = std::pair<suspects::death_kind, std::string_view>;
constexpr std::array<kind_code, 3> kinds{{{suspects::death_kind::alone, "alone"},
                                          {suspects::death_kind::shared, "shared"},
                                          {suspects::death_kind::after_output, "after"}}};

std::string line_of(const suspects::request_death& one, unix_time now)
{
    const auto* const kind = std::ranges::find(kinds, one.kind, &kind_code::first);
    const auto at = now - std::chrono::duration_cast<unix_time>(one.age);
    return absl::StrCat("\n", std::string(kind->second), " ", at.count(), " ",
                        one.death.incarnation.text(), " ", one.death.endpoint.text());
}

std::optional<suspects::request_death> parse_line(std::string_view line, unix_time now)
{
    const auto fields = core::split(line, ' ');
    if (fields.size() != fields_per_line) {
        return std::nullopt;
    }
    const auto* const kind = std::ranges::find(kinds, fields[0], &kind_code::second);
    const auto at = core::parse_number<unix_time::rep>(fields[1]);
    if (kind == kinds.end() || !at || *at < 0) {
        return std::nullopt;
    }
    // A clock that was set back since does not prolong the evidence by more than one retention.
    const auto age = std::max(now - unix_time(*at), unix_time::zero());
    return suspects::request_death{
        {core::endpoint_id(std::string(fields[3])), core::incarnation_id(std::string(fields[2]))},
        kind->first,
        age};
}

} // namespace

std::string stored_suspect_text(const std::vector<suspects::request_death>& deaths, unix_time now)
{
    std::string text(layout);
    std::ranges::for_each(deaths | std::views::take(max_stored_deaths),
                          [&](const auto& one) { text += line_of(one, now); });
    return text;
}

std::optional<std::vector<suspects::request_death>> parse_stored_suspect(std::string_view text,
                                                                         unix_time now)
{
    const auto lines = core::split(text, '\n');
    if (lines.front() != layout || lines.size() > max_stored_deaths + 1) {
        return std::nullopt;
    }
    std::vector<suspects::request_death> deaths;
    for (const std::string_view line : lines | std::views::drop(1)) {
        auto death = parse_line(line, now);
        if (!death) {
            return std::nullopt;
        }
        deaths.push_back(*std::move(death));
    }
    std::ranges::sort(deaths);
    return deaths;
}

} // namespace ej::front
