#include "leaving_field.h"

#include <core/text.h>

#include <algorithm>

namespace ej::front {

namespace {

bool is_yes(std::string_view value)
{
    value = core::trimmed(value);
    return value == "1" || core::equal_ignoring_case(value, "true");
}

} // namespace

bool says_leaving(const std::vector<http::header>& fields, std::string_view name)
{
    return std::ranges::any_of(fields, [&](const http::header& field) {
        return core::equal_ignoring_case(field.name, name) &&
               std::ranges::any_of(core::split(field.value, ','), is_yes);
    });
}

} // namespace ej::front
