#include "peer_codec.h"

#include <cbor/parse.h>
#include <rollout_wire/rollout_codec.h>
#include <suspects_wire/death_codec.h>
#include <suspects_wire/evidence_codec.h>
#include <suspects_wire/part_codec.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace ej::front {

namespace {

using nlohmann::json;

// First element of a datagram: type and version of its layout. Other versions are rejected.
constexpr int load_layout = 10;
constexpr int load_layout_without_memory = 4; // Of builds that do not count engines' memory.
constexpr int store_update_layout = 3;
constexpr int cleared_layout = 5;
constexpr int leaving_layout = 9;
constexpr std::size_t load_fields = 7;
constexpr std::size_t share_fields = 4;
constexpr std::size_t share_fields_without_memory = 3;
constexpr std::size_t service_fields = 4;
constexpr std::size_t service_fields_without_waiting = 3;
constexpr std::size_t store_update_fields = 5;
constexpr std::size_t item_fields = 3;
constexpr std::size_t cleared_fields = 2;
constexpr std::size_t leaving_fields = 2;
constexpr std::size_t run_fields = 2;

bool is_count(const json& value)
{
    return value.is_number_unsigned();
}

bool is_small_count(const json& value)
{
    return is_count(value) &&
           value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}

bool is_share(const json& value, std::size_t fields)
{
    return value.is_array() && value.size() == fields && value[0].is_string() &&
           is_small_count(value[1]) && std::all_of(value.begin() + 2, value.end(), is_count);
}

bool is_service(const json& value, std::size_t fields)
{
    return value.is_array() && value.size() == fields && value[0].is_string() &&
           std::all_of(value.begin() + 1, value.end(), is_small_count);
}

bool is_item(const json& value)
{
    return value.is_array() && value.size() == item_fields && value[0].is_string() &&
           is_count(value[1]) && (value[2].is_null() || value[2].is_binary());
}

bool is_store_update(const json& value)
{
    return value.is_array() && value.size() == store_update_fields &&
           value[0] == store_update_layout && is_count(value[1]) && is_count(value[2]) &&
           value[3].is_boolean() && value[4].is_array() && std::ranges::all_of(value[4], is_item);
}

bool is_load(const json& value)
{
    if (!value.is_array() || value.size() != load_fields ||
        (value[0] != load_layout && value[0] != load_layout_without_memory)) {
        return false;
    }
    const bool whole = value[0] == load_layout;
    const auto fields_of_share = whole ? share_fields : share_fields_without_memory;
    const auto fields_of_service = whole ? service_fields : service_fields_without_waiting;
    return value[1].is_string() && is_count(value[2]) && is_count(value[3]) &&
           value[4].is_boolean() && value[5].is_array() &&
           std::ranges::all_of(value[5],
                               [&](const json& one) { return is_share(one, fields_of_share); }) &&
           value[6].is_array() && std::ranges::all_of(value[6], [&](const json& one) {
               return is_service(one, fields_of_service);
           });
}

bool is_cleared(const json& value)
{
    return value.is_array() && value.size() == cleared_fields && value[0] == cleared_layout &&
           is_count(value[1]);
}

bool is_run(const json& value)
{
    return value.is_array() && value.size() == run_fields && value[0].is_string() &&
           value[1].is_string();
}

bool is_leaving_notice(const json& value)
{
    return value.is_array() && value.size() == leaving_fields && value[0] == leaving_layout &&
           value[1].is_array() && value[1].size() <= forwarding::leaving_notice::max_runs &&
           std::ranges::all_of(value[1], is_run);
}

json to_json(const forwarding::load_message& message)
{
    json shares = json::array();
    for (const forwarding::load_share& one : message.shares) {
        shares.push_back({one.endpoint.text(), one.in_flight, one.tokens_unread, one.tokens_held});
    }
    json services = json::array();
    for (const forwarding::service_share& one : message.services) {
        services.push_back({one.service.text(), one.first_sends, one.further_sends, one.waiting});
    }
    return json::array({load_layout, message.from.text(), message.start, message.number,
                        message.whole, std::move(shares), std::move(services)});
}

json to_json(const store_update& update)
{
    json items = json::array();
    for (const platform::store_item& one : update.items) {
        // Values are arbitrary bytes, which a CBOR text string cannot hold.
        const json value =
            one.value ? json::binary({one.value->begin(), one.value->end()}) : json(nullptr);
        items.push_back({one.key, one.revision.value(), value});
    }
    return json::array({store_update_layout, update.since.value(), update.as_of.value(),
                        update.query_store, std::move(items)});
}

json to_json(const forwarding::leaving_notice& notice)
{
    json runs = json::array();
    for (const forwarding::endpoint_run& one : notice.runs) {
        runs.push_back({one.name.text(), one.incarnation.text()});
    }
    return json::array({leaving_layout, std::move(runs)});
}

forwarding::load_message load_of(const json& value)
{
    forwarding::load_message message;
    message.from = core::vm_id(value[1].get<std::string>());
    message.start = value[2].get<std::uint64_t>();
    message.number = value[3].get<std::uint64_t>();
    message.whole = value[4].get<bool>();
    for (const json& one : value[5]) {
        const auto unread = one[2].get<std::uint64_t>();
        const auto held = one.size() == share_fields ? one.back().get<std::uint64_t>() : unread;
        message.shares.push_back({core::endpoint_id(one[0].get<std::string>()),
                                  one[1].get<std::uint32_t>(), unread, held});
    }
    for (const json& one : value[6]) {
        const auto waiting = one.size() == service_fields ? one.back().get<std::uint32_t>() : 0U;
        message.services.push_back({core::service_id(one[0].get<std::string>()),
                                    one[1].get<std::uint32_t>(), one[2].get<std::uint32_t>(),
                                    waiting});
    }
    return message;
}

store_update store_update_of(const json& value)
{
    store_update update{core::revision(value[1].get<std::uint64_t>()),
                        core::revision(value[2].get<std::uint64_t>()),
                        value[3].get<bool>(),
                        {}};
    for (const json& one : value[4]) {
        platform::store_item item{one[0].get<std::string>(), std::nullopt,
                                  core::revision(one[1].get<std::uint64_t>())};
        if (one[2].is_binary()) {
            const auto& bytes = one[2].get_binary();
            item.value = std::string(bytes.begin(), bytes.end());
        }
        update.items.push_back(std::move(item));
    }
    return update;
}

forwarding::leaving_notice leaving_notice_of(const json& value)
{
    forwarding::leaving_notice notice;
    for (const json& one : value[1]) {
        notice.runs.push_back({core::endpoint_id(one[0].get<std::string>()),
                               core::incarnation_id(one[1].get<std::string>())});
    }
    return notice;
}

std::vector<std::uint8_t> bytes_of(const forwarding::load_message& message)
{
    return json::to_cbor(to_json(message));
}

std::vector<std::uint8_t> bytes_of(const store_update& update)
{
    return json::to_cbor(to_json(update));
}

std::vector<std::uint8_t> bytes_of(const forwarding::leaving_notice& notice)
{
    return json::to_cbor(to_json(notice));
}

std::vector<std::uint8_t> bytes_of(const suspects::cleared_request& one)
{
    return json::to_cbor(json::array({cleared_layout, one.request.value()}));
}

std::vector<std::uint8_t> bytes_of(const suspects::death_record& record)
{
    return suspects_wire::encode(record);
}

std::vector<std::uint8_t> bytes_of(const suspects::evidence_query& query)
{
    return suspects_wire::encode(query);
}

std::vector<std::uint8_t> bytes_of(const suspects::evidence_report& report)
{
    return suspects_wire::encode(report);
}

std::vector<std::uint8_t> bytes_of(const rollout::rollout_report& report)
{
    return rollout_wire::encode(report);
}

std::vector<std::uint8_t> bytes_of(const rollout::rollout_verdict& verdict)
{
    return rollout_wire::encode(verdict);
}

std::vector<std::uint8_t> bytes_of(const suspects::part_death& seen)
{
    return suspects_wire::encode(seen);
}

std::vector<std::uint8_t> bytes_of(const suspects::held_parts& held)
{
    return suspects_wire::encode(held);
}

std::vector<std::uint8_t> bytes_of(const suspects::cleared_parts& cleared)
{
    return suspects_wire::encode(cleared);
}

} // namespace

std::vector<std::uint8_t> encode(const peer_message& message)
{
    return std::visit([](const auto& one) { return bytes_of(one); }, message);
}

absl::StatusOr<peer_message> decode_peer(std::span<const std::uint8_t> bytes)
{
    const auto value = cbor::parse(bytes.data(), bytes.size());
    if (is_load(value)) {
        return load_of(value);
    }
    if (is_store_update(value)) {
        return store_update_of(value);
    }
    if (is_leaving_notice(value)) {
        return leaving_notice_of(value);
    }
    if (is_cleared(value)) {
        return suspects::cleared_request{suspects::request_digest(value[1].get<std::uint64_t>())};
    }
    if (auto about_parts = suspects_wire::decode_part(bytes); about_parts.ok()) {
        return std::visit([](auto& one) -> peer_message { return std::move(one); }, *about_parts);
    }
    if (auto about_evidence = suspects_wire::decode_evidence(bytes); about_evidence.ok()) {
        return std::visit([](auto& one) -> peer_message { return std::move(one); },
                          *about_evidence);
    }
    if (auto about_rollout = rollout_wire::decode_rollout(bytes); about_rollout.ok()) {
        return std::visit([](auto& one) -> peer_message { return std::move(one); }, *about_rollout);
    }
    return suspects_wire::decode_death(bytes);
}

} // namespace ej::front
