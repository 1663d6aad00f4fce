#include "query_number.h"

#include <charconv>

namespace ej::operator_api {

std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view field = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos || field.substr(0, equals) != name) {
            continue;
        }
        const std::string_view digits = field.substr(equals + 1);
        const auto* const end = digits.data() + digits.size();
        std::uint64_t value = 0;
        const auto [stop, error] = std::from_chars(digits.data(), end, value);
        return error == std::errc{} && stop == end ? std::optional(value) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace ej::operator_api
