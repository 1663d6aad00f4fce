#include <caller_front/store_layout.h>

#include <core/text.h>

#include <absl/strings/str_cat.h>

#include <cstdint>
#include <string_view>

namespace ej::front {

std::string store_layout::held_part_key(suspects::part_digest part) const
{
    return absl::StrCat(held_parts_prefix(), absl::Hex(part.value()));
}

std::optional<core::service_id> store_layout::rolled_out_service_of(const std::string& key) const
{
    const auto prefix = rollouts_prefix();
    if (!key.starts_with(prefix) || key.size() == prefix.size()) {
        return std::nullopt;
    }
    return core::service_id(key.substr(prefix.size()));
}

std::optional<suspects::part_digest> store_layout::held_part_of(const std::string& key) const
{
    const auto prefix = held_parts_prefix();
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    const auto part = core::parse_number<std::uint64_t>(std::string_view(key).substr(prefix.size()),
                                                        core::hexadecimal);
    return part ? std::optional(suspects::part_digest(*part)) : std::nullopt;
}

} // namespace ej::front
