#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ej::core {

// Debian builds absl for C++14, where its string functions do not take std::string_view.

/// True if both are equal without regard to the case of ASCII letters.
[[nodiscard]] bool equal_ignoring_case(std::string_view left, std::string_view right);

/// `text` with ASCII letters in lower case.
[[nodiscard]] std::string lower_case(std::string_view text);

/// `text` without spaces and tabs at its ends.
[[nodiscard]] std::string_view trimmed(std::string_view text);

/// Splits `text` at each `separator`; one part if there is none. The parts are views into `text`.
[[nodiscard]] std::vector<std::string_view> split(std::string_view text, char separator);

inline constexpr int decimal = 10;
inline constexpr int hexadecimal = 16;

/// Parses the whole of `text` as a number; empty for any other text or a number out of range.
template <std::integral Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text, int base = decimal)
{
    Number value = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, base);
    if (error != std::errc{} || stop != end || text.empty()) {
        return std::nullopt;
    }
    return value;
}

} // namespace ej::core
