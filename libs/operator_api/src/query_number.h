#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace ej::operator_api {

/// The whole number value of `name` in "name=value&..."; nullopt when missing or not a number.
[[nodiscard]] std::optional<std::uint64_t> query_number(std::string_view query,
                                                        std::string_view name);

} // namespace ej::operator_api
