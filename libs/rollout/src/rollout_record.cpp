#include <rollout/rollout_record.h>

#include <core/text.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ej::rollout {

namespace {

// The first line names the layout; a daemon does not use records of layouts that it does not know.
constexpr std::string_view layout = "1";

enum field : std::size_t {
    layout_name,
    order,
    phase,
    to_target,
    later,
    until,
    written,
    target,
    reason,
    field_count
};

} // namespace

std::string to_text(const rollout_record& record)
{
    std::string reason = record.reason;
    std::ranges::replace(reason, '\n', ' ');
    return absl::StrCat(std::string(layout), "\n", record.order.value(), "\n",
                        std::string(to_string(record.phase)), "\n", record.to_target, "\n",
                        record.later, "\n", record.until.count(), "\n", record.written.count(),
                        "\n", record.target.text(), "\n", reason);
}

std::optional<rollout_record> parse_record(std::string_view text)
{
    const auto lines = core::split(text, '\n');
    if (lines.size() != field_count || lines[layout_name] != layout) {
        return std::nullopt;
    }
    const auto revision = core::parse_number<std::uint64_t>(lines[order]);
    const auto at = parse_phase(lines[phase]);
    const auto now = core::parse_number<share>(lines[to_target]);
    const auto then = core::parse_number<share>(lines[later]);
    const auto changes = core::parse_number<std::uint32_t>(lines[until]);
    const auto age = core::parse_number<std::uint32_t>(lines[written]);
    if (!revision || !at || !now || !then || !changes || !age || *now > whole_share ||
        *then > *now || lines[target].empty()) {
        return std::nullopt;
    }
    return rollout_record{core::revision(*revision),
                          core::version_id(std::string(lines[target])),
                          *at,
                          *now,
                          *then,
                          std::chrono::milliseconds(*changes),
                          std::chrono::milliseconds(*age),
                          std::string(lines[reason])};
}

} // namespace ej::rollout
