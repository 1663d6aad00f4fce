#include "prompt_parts.h"

#include <core/text.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace ej::front {

namespace {

using forwarding::prompt_part;
using forwarding::prompt_part_id;

/// Parses "ID:TOKENS".
std::optional<prompt_part> parse_part(std::string_view text)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto id = core::parse_number<std::uint64_t>(text.substr(0, colon), core::hexadecimal);
    const auto tokens = core::parse_number<std::uint64_t>(text.substr(colon + 1));
    if (!id || !tokens) {
        return std::nullopt;
    }
    return prompt_part{prompt_part_id(*id), *tokens};
}

} // namespace

std::vector<prompt_part> prompt_parts_of(const caller_request& incoming, const header_names& names)
{
    std::vector<prompt_part> parts;
    for (const http::header& field : incoming.message.headers) {
        if (!core::equal_ignoring_case(field.name, names.prompt_parts)) {
            continue;
        }
        // Several fields of one name are equal to one with their values joined (RFC 9110, 5.3).
        for (const std::string_view entry : core::split(field.value, ',')) {
            const auto part = parse_part(core::trimmed(entry));
            if (!part || parts.size() == max_prompt_parts) {
                return {};
            }
            parts.push_back(*part);
        }
    }
    return parts;
}

} // namespace ej::front
