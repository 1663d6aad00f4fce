#include <suspects_wire/part_codec.h>

#include <cbor/parse.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <string>
#include <utility>

namespace ej::suspects_wire {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// First element of the array; datagrams of other types begin with another number.
constexpr int death_layout = 6;
constexpr int held_layout = 7;
constexpr int cleared_layout = 8;
constexpr std::size_t death_fields = 5;
constexpr std::size_t list_fields = 2;
constexpr std::size_t held_fields = 4;

// Longer times make no sense and could overflow the clock's type.
constexpr std::chrono::hours longest_time{24};

bool is_unsigned(const json& value)
{
    return value.is_number_unsigned();
}

bool is_small_count(const json& value)
{
    return is_unsigned(value) &&
           value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}

bool is_time(const json& value)
{
    return is_unsigned(value) && value.get<std::uint64_t>() <=
                                     static_cast<std::uint64_t>(milliseconds(longest_time).count());
}

bool is_held(const json& value)
{
    return value.is_array() && value.size() == held_fields && is_unsigned(value[0]) &&
           is_small_count(value[1]) && is_time(value[2]) && is_time(value[3]);
}

bool is_death(const json& value)
{
    return value.is_array() && value.size() == death_fields && value[0] == death_layout &&
           value[1].is_string() && value[2].is_string() && value[3].is_string() &&
           value[4].is_array() && std::ranges::all_of(value[4], is_unsigned);
}

bool is_list(const json& value, int layout, bool (*is_entry)(const json&))
{
    return value.is_array() && value.size() == list_fields && value[0] == layout &&
           value[1].is_array() && std::ranges::all_of(value[1], is_entry);
}

json to_json(const std::vector<suspects::part_digest>& parts)
{
    json digests = json::array();
    for (const suspects::part_digest part : parts) {
        digests.push_back(part.value());
    }
    return digests;
}

std::vector<suspects::part_digest> parts_of(const json& value)
{
    std::vector<suspects::part_digest> parts;
    for (const json& digest : value) {
        parts.emplace_back(digest.get<std::uint64_t>());
    }
    std::ranges::sort(parts);
    const auto repeats = std::ranges::unique(parts);
    parts.erase(repeats.begin(), repeats.end());
    return parts;
}

std::uint64_t in_ms(core::duration time)
{
    const auto bounded = std::clamp<core::duration>(time, core::duration::zero(), longest_time);
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(bounded).count());
}

core::duration time_of(const json& value)
{
    return milliseconds(value.get<std::int64_t>());
}

suspects::held_part held_of(const json& value)
{
    return {suspects::part_digest(value[0].get<std::uint64_t>()), value[1].get<std::uint32_t>(),
            time_of(value[2]), time_of(value[3])};
}

} // namespace

std::vector<std::uint8_t> encode(const suspects::part_death& seen)
{
    return json::to_cbor(
        json::array({death_layout, seen.death.endpoint.text(), seen.death.incarnation.text(),
                     seen.domain.text(), to_json(seen.parts)}));
}

std::vector<std::uint8_t> encode(const suspects::held_parts& held)
{
    json entries = json::array();
    for (const suspects::held_part& one : held.parts) {
        entries.push_back(
            {one.part.value(), one.trials, in_ms(one.until_trial), in_ms(one.since_evidence)});
    }
    return json::to_cbor(json::array({held_layout, std::move(entries)}));
}

std::vector<std::uint8_t> encode(const suspects::cleared_parts& cleared)
{
    return json::to_cbor(json::array({cleared_layout, to_json(cleared.parts)}));
}

absl::StatusOr<part_message> decode_part(std::span<const std::uint8_t> bytes)
{
    const auto value = cbor::parse(bytes.data(), bytes.size());
    if (is_death(value)) {
        return suspects::part_death{{core::endpoint_id(value[1].get<std::string>()),
                                     core::incarnation_id(value[2].get<std::string>())},
                                    core::failure_domain_id(value[3].get<std::string>()),
                                    parts_of(value[4])};
    }
    if (is_list(value, held_layout, is_held)) {
        suspects::held_parts held;
        std::ranges::transform(value[1], std::back_inserter(held.parts), held_of);
        return held;
    }
    if (is_list(value, cleared_layout, is_unsigned)) {
        return suspects::cleared_parts{parts_of(value[1])};
    }
    return absl::InvalidArgumentError("not a message about parts of prompts");
}

} // namespace ej::suspects_wire
