#include "workspace_keys.h"

#include <algorithm>
#include <string_view>

namespace ej::runtime {

namespace {

constexpr std::string_view scheme = "Bearer ";

bool equal_in_constant_time(std::string_view one, std::string_view other)
{
    if (one.size() != other.size()) {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t i = 0; i < one.size(); ++i) {
        difference |= static_cast<unsigned char>(one[i] ^ other[i]);
    }
    return difference == 0;
}

} // namespace

std::optional<core::workspace_id> workspace_keys::authenticate(const http::request& call) const
{
    const auto header = call.header_value("Authorization");
    if (!header || !header->starts_with(scheme)) {
        return std::nullopt;
    }
    const auto key = std::string_view(*header).substr(scheme.size());
    std::optional<core::workspace_id> owner;
    std::ranges::for_each(keys_, [&](const workspace_key& known) {
        if (equal_in_constant_time(known.key, key)) {
            owner = known.workspace;
        }
    });
    return owner;
}

} // namespace ej::runtime
