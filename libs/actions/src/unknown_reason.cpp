#include <actions/unknown_reason.h>

#include <cstddef>

namespace ej::actions {

namespace {

constexpr std::array<unknown_reason, unknown_reason_count> reasons{
    unknown_reason::connection_lost,      unknown_reason::timed_out,
    unknown_reason::owner_unreachable,    unknown_reason::owner_gone,
    unknown_reason::platform_unavailable, unknown_reason::draining,
    unknown_reason::record_expired};

constexpr std::array<std::string_view, unknown_reason_count> names{
    "connection_lost",      "timed_out", "owner_unreachable", "owner_gone",
    "platform_unavailable", "draining",  "record_expired"};

} // namespace

const std::array<unknown_reason, unknown_reason_count>& all_unknown_reasons()
{
    return reasons;
}

std::string_view to_string(unknown_reason reason)
{
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace ej::actions
