#include <core/address.h>

#include <core/text.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
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

bool is_connectable(const address& value)
{
    // The C functions end at a NUL.
    if (value.port == 0 || value.host.find('\0') != std::string::npos) {
        return false;
    }
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    const bool numeric = ::inet_pton(AF_INET, value.host.c_str(), bytes.data()) == 1 ||
                         ::inet_pton(AF_INET6, value.host.c_str(), bytes.data()) == 1;
    return numeric && std::ranges::any_of(bytes, [](unsigned char one) { return one != 0; });
}

} // namespace ej::core
