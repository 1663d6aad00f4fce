#include <core/address.h>

#include <charconv>

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
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, port);
    if (error != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return address{std::string(text.substr(0, colon)), port};
}

} // namespace ej::core
