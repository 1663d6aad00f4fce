#include "url.h"

#include <charconv>

namespace ej::stand_ins {

std::string percent_decode(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    while (!text.empty()) {
        unsigned char byte = 0;
        const bool escaped =
            text.size() > 2 && text.front() == '%' &&
            std::from_chars(text.data() + 1, text.data() + 3, byte, hexadecimal).ptr ==
                text.data() + 3;
        decoded += escaped ? static_cast<char>(byte) : text.front();
        text.remove_prefix(escaped ? 3 : 1);
    }
    return decoded;
}

void parse_target(std::string_view target, http_request& into)
{
    const auto mark = target.find('?');
    into.path = percent_decode(target.substr(0, mark));
    auto rest = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        into.query[percent_decode(pair.substr(0, equals))] =
            equals == std::string_view::npos ? "" : percent_decode(pair.substr(equals + 1));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    }
}

} // namespace ej::stand_ins
