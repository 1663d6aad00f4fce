#include <forwarding/leaving_source.h>

#include <array>

namespace ej::forwarding {

namespace {

constexpr std::array<std::string_view, leaving_source_count> names{"registration", "answer",
                                                                   "peer"};

} // namespace

std::string_view to_string(leaving_source source)
{
    return names.at(static_cast<std::size_t>(source));
}

} // namespace ej::forwarding
