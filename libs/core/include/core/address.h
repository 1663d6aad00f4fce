#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace ej::core {

/// An IP address and a TCP port.
struct address {
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const address&, const address&) = default;
    friend std::ostream& operator<<(std::ostream& out, const address& value)
    {
        return out << value.host << ':' << value.port;
    }
};

/// "host:port".
[[nodiscard]] std::string to_string(const address& value);

/// Parses "host:port" with a port from 0 to 65535. Empty for any other text.
[[nodiscard]] std::optional<address> parse_address(std::string_view text);

/// True if a connection to `value` is possible: its host is an IP address in digits other than the
/// unspecified one, and its port is not 0.
[[nodiscard]] bool is_connectable(const address& value);

} // namespace ej::core
