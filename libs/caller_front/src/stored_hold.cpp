#include "stored_hold.h"

#include <core/text.h>

#include <absl/strings/str_cat.h>

namespace ej::front {

namespace {

constexpr std::string_view layout = "1 ";

} // namespace

std::string stored_hold_text(std::uint32_t trials)
{
    return absl::StrCat(std::string(layout), trials);
}

std::optional<std::uint32_t> parse_stored_hold(std::string_view text)
{
    if (!text.starts_with(layout)) {
        return std::nullopt;
    }
    return core::parse_number<std::uint32_t>(text.substr(layout.size()));
}

} // namespace ej::front
