#include "load_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace ej::front {

namespace {

using nlohmann::json;

// Of the message's layout; daemons of another version are not understood.
constexpr int layout_version = 1;
constexpr std::size_t message_fields = 6;
constexpr std::size_t share_fields = 3;

bool is_count(const json& value)
{
    return value.is_number_unsigned();
}

bool is_share(const json& value)
{
    return value.is_array() && value.size() == share_fields && value[0].is_string() &&
           is_count(value[1]) && is_count(value[2]) &&
           value[1].get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}

bool is_message(const json& value)
{
    return value.is_array() && value.size() == message_fields && value[0] == layout_version &&
           value[1].is_string() && is_count(value[2]) && is_count(value[3]) &&
           value[4].is_boolean() && value[5].is_array() && std::ranges::all_of(value[5], is_share);
}

} // namespace

std::vector<std::uint8_t> encode(const forwarding::load_message& message)
{
    json shares = json::array();
    for (const forwarding::load_share& one : message.shares) {
        shares.push_back({one.endpoint.text(), one.in_flight, one.tokens_unread});
    }
    return json::to_cbor(json::array({layout_version, message.from.text(), message.start,
                                      message.number, message.whole, std::move(shares)}));
}

absl::StatusOr<forwarding::load_message> decode_load(std::span<const std::uint8_t> bytes)
{
    constexpr bool strict = true;
    constexpr bool may_throw = false;
    const auto value = json::from_cbor(bytes.begin(), bytes.end(), strict, may_throw);
    if (value.is_discarded() || !is_message(value)) {
        return absl::InvalidArgumentError("is no load message");
    }
    forwarding::load_message message;
    message.from = core::vm_id(value[1].get<std::string>());
    message.start = value[2].get<std::uint64_t>();
    message.number = value[3].get<std::uint64_t>();
    message.whole = value[4].get<bool>();
    for (const json& one : value[5]) {
        message.shares.push_back({core::endpoint_id(one[0].get<std::string>()),
                                  one[1].get<std::uint32_t>(), one[2].get<std::uint64_t>()});
    }
    return message;
}

} // namespace ej::front
