#include "json.h"

#include <wire/generation_status.h>

namespace ej::wire {

core::token_offset parse_generation_status(std::string_view text)
{
    const auto body = parse_json(text);
    if (!body.is_object()) {
        return core::token_offset(0);
    }
    const auto offset = body.find("offset");
    if (offset == body.end() || !offset->is_number_unsigned()) {
        return core::token_offset(0);
    }
    return core::token_offset(offset->get<std::uint64_t>());
}

} // namespace ej::wire
