#include "connection_phase.h"

#include <array>

namespace ej::front {

namespace {

constexpr std::array<std::string_view, connection_phase_count> names{
    "idle", "reading", "answering", "aborting", "lingering", "closed"};

} // namespace

std::string_view to_string(connection_phase phase)
{
    return names.at(static_cast<std::size_t>(phase));
}

} // namespace ej::front
