#pragma once

#include <cstdint>
#include <string>

namespace ej::operator_api {

/// A TCP port of the IP address `host` that was free during the call; 0 when there is none.
[[nodiscard]] std::uint16_t free_port(const std::string& host);

} // namespace ej::operator_api
