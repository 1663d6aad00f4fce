#include <overload/placement_kind.h>

#include <array>
#include <cstddef>

namespace ej::overload {

namespace {

constexpr std::array<std::string_view, 3> names{"send", "wait", "refuse"};

} // namespace

std::string_view to_string(placement_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace ej::overload
