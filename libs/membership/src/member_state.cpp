#include <membership/member_state.h>

#include <array>

namespace ej::membership {

namespace {

constexpr std::array<std::string_view, 4> names{"alive", "leaving", "suspect", "dead"};

} // namespace

std::string_view to_string(member_state state)
{
    return names.at(static_cast<std::size_t>(state));
}

} // namespace ej::membership
