#include <core/text.h>

#include <algorithm>

namespace ej::core {

namespace {

char lower(char character)
{
    constexpr char to_lower = 'a' - 'A';
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + to_lower)
                                                : character;
}

} // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, lower, lower);
}

std::string lower_case(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), lower);
    return result;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (;;) {
        const auto place = text.find(separator);
        parts.push_back(text.substr(0, place));
        if (place == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(place + 1);
    }
}

} // namespace ej::core
