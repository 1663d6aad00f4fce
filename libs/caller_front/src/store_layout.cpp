#include <caller_front/store_layout.h>

#include <core/text.h>

#include <absl/strings/str_cat.h>

#include <cstdint>
#include <string_view>

namespace ej::front {

namespace {

std::string digest_key(const std::string& prefix, std::uint64_t digest)
{
    return absl::StrCat(prefix, absl::Hex(digest));
}

/// The digest in a key that `digest_key` made; empty for other keys.
std::optional<std::uint64_t> digest_in(const std::string& key, const std::string& prefix)
{
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    return core::parse_number<std::uint64_t>(std::string_view(key).substr(prefix.size()),
                                             core::hexadecimal);
}

} // namespace

std::string store_layout::held_part_key(suspects::part_digest part) const
{
    return digest_key(held_parts_prefix(), part.value());
}

std::optional<suspects::part_digest> store_layout::held_part_of(const std::string& key) const
{
    const auto part = digest_in(key, held_parts_prefix());
    return part ? std::optional(suspects::part_digest(*part)) : std::nullopt;
}

std::string store_layout::suspect_key(suspects::request_digest request) const
{
    return digest_key(suspects_prefix(), request.value());
}

std::optional<suspects::request_digest> store_layout::suspect_of(const std::string& key) const
{
    const auto request = digest_in(key, suspects_prefix());
    return request ? std::optional(suspects::request_digest(*request)) : std::nullopt;
}

std::optional<core::service_id> store_layout::rolled_out_service_of(const std::string& key) const
{
    const auto prefix = rollouts_prefix();
    if (!key.starts_with(prefix) || key.size() == prefix.size()) {
        return std::nullopt;
    }
    return core::service_id(key.substr(prefix.size()));
}

} // namespace ej::front
