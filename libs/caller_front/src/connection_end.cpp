#include "connection_end.h"

#include <array>

namespace ej::front {

namespace {

constexpr std::array<std::string_view, connection_end_count> names{
    "caller_closed", "read_failed",   "idle_timeout", "leaving",      "answer_sent",
    "write_failed",  "write_timeout", "output_limit", "call_aborted", "overload"};

} // namespace

std::string_view to_string(connection_end end)
{
    return names.at(static_cast<std::size_t>(end));
}

} // namespace ej::front
