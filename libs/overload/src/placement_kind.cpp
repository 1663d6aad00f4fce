#include <overload/placement_kind.h>

#include <array>
#include <cstddef>

namespace ej::overload {

namespace {

constexpr std::array<std::string_view, 4> names{"send", "wait", "refuse", "too_late"};

} // namespace

std::string_view to_string(placement_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace ej::overload
