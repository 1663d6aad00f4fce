#include <core/address.h>

#include <core/text.h>

#include <cstdint>

namespace ej::core {

std::string to_string(const address& value)
{
    return value.host + ':' + std::to_string(value.port);
}

std::optional<address> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    if (!port) {
        return std::nullopt;
    }
    return address{std::string(text.substr(0, colon)), *port};
}

} // namespace ej::core
