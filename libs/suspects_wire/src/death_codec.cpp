#include <suspects_wire/death_codec.h>

#include <cbor/parse.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace ej::suspects_wire {

namespace {

using nlohmann::json;

// First element of the array; datagrams of other types begin with another number.
constexpr int death_record_layout = 2;
constexpr std::size_t death_record_fields = 4;

bool is_unsigned(const json& value)
{
    return value.is_number_unsigned();
}

bool is_death_record(const json& value)
{
    return value.is_array() && value.size() == death_record_fields &&
           value[0] == death_record_layout && value[1].is_string() && value[2].is_string() &&
           value[3].is_array() && std::ranges::all_of(value[3], is_unsigned);
}

} // namespace

std::vector<std::uint8_t> encode(const suspects::death_record& record)
{
    json running = json::array();
    for (const suspects::request_digest digest : record.running) {
        running.push_back(digest.value());
    }
    return json::to_cbor(json::array({death_record_layout, record.death.endpoint.text(),
                                      record.death.incarnation.text(), std::move(running)}));
}

absl::StatusOr<suspects::death_record> decode_death(std::span<const std::uint8_t> bytes)
{
    const auto value = cbor::parse(bytes.data(), bytes.size());
    if (value.is_discarded() || !is_death_record(value)) {
        return absl::InvalidArgumentError("not a death record");
    }
    suspects::death_record record;
    record.death = {core::endpoint_id(value[1].get<std::string>()),
                    core::incarnation_id(value[2].get<std::string>())};
    for (const json& digest : value[3]) {
        record.running.emplace_back(digest.get<std::uint64_t>());
    }
    std::ranges::sort(record.running);
    return record;
}

} // namespace ej::suspects_wire
