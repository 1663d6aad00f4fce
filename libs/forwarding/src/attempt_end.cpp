#include <forwarding/attempt_end.h>

#include <array>

namespace ej::forwarding {

namespace {

constexpr std::array<std::string_view, attempt_end_count> names{
    "not_sent", "not_executed", "misdirected", "failed", "spoiled", "broken", "silent"};

} // namespace

std::string_view to_string(attempt_end end)
{
    return names.at(static_cast<std::size_t>(end));
}

bool may_have_run(attempt_end end)
{
    return end >= attempt_end::failed;
}

} // namespace ej::forwarding
