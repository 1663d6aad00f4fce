#include "endpoint_notice.h"

#include <core/text.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace ej::soak {

namespace {

constexpr std::array<std::string_view, notice_kind_count> names{"arrived", "leaving", "paused"};
constexpr std::size_t field_count = 5;

// All processes of the soak share the machine's monotonic clock.
std::string text_of(core::instant at)
{
    return std::to_string(at.time_since_epoch().count());
}

std::optional<core::instant> parse_instant(std::string_view text)
{
    const auto count = core::parse_number<std::int64_t>(text);
    return count ? std::optional(core::instant(core::duration(*count))) : std::nullopt;
}

} // namespace

std::string to_line(const endpoint_notice& notice)
{
    return std::string(names.at(static_cast<std::size_t>(notice.kind))) + ' ' + notice.endpoint +
           ' ' + notice.request + ' ' + text_of(notice.at) + ' ' + text_of(notice.until);
}

std::optional<endpoint_notice> parse_notice(std::string_view line)
{
    const auto fields = core::split(line, ' ');
    if (fields.size() != field_count) {
        return std::nullopt;
    }
    const auto* const name = std::ranges::find(names, fields[0]);
    const auto at = parse_instant(fields[3]);
    const auto until = parse_instant(fields[4]);
    if (name == names.end() || !at || !until) {
        return std::nullopt;
    }
    return endpoint_notice{static_cast<notice_kind>(name - names.begin()), std::string(fields[1]),
                           std::string(fields[2]), *at, *until};
}

} // namespace ej::soak
