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

prompt_part_list prompt_parts_of(const caller_request& incoming, const header_names& names)
{
    prompt_part_list list;
    for (const http::header& field : incoming.message.headers) {
        if (!core::equal_ignoring_case(field.name, names.prompt_parts)) {
            continue;
        }
        // Several fields of one name are equal to one with their values joined (RFC 9110, 5.3).
        for (const std::string_view text : core::split(field.value, ',')) {
            const auto entry = core::trimmed(text);
            if (entry.empty()) {
                continue; // Empty elements are ignored (RFC 9110, 5.6.1).
            }
            const bool full = list.parts.size() == max_prompt_parts;
            const auto part = full ? std::nullopt : parse_part(entry);
            list.last_unread = !part;
            if (part) {
                list.parts.push_back(*part);
            }
            else {
                ++list.unread;
            }
        }
    }
    return list;
}

} // namespace ej::front
