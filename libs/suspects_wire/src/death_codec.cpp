#include <suspects_wire/death_codec.h>

#include "digest_list.h"

#include <cbor/parse.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace ej::suspects_wire {

namespace {

using nlohmann::json;

// First element of the array; datagrams of other types begin with another number.
constexpr int layout_without_output = 2; // All requests were without output.
constexpr int layout_after_output = 11;
constexpr std::size_t fields_without_output = 4;
constexpr std::size_t fields_after_output = 5;

bool is_death_record(const json& value)
{
    if (!value.is_array() || value.size() < fields_without_output) {
        return false;
    }
    const bool known_layout =
        (value[0] == layout_without_output && value.size() == fields_without_output) ||
        (value[0] == layout_after_output && value.size() == fields_after_output);
    return known_layout && value[1].is_string() && value[2].is_string() &&
           std::all_of(value.begin() + 3, value.end(), is_digest_list);
}

} // namespace

std::vector<std::uint8_t> encode(const suspects::death_record& record)
{
    auto fields = json::array({layout_without_output, record.death.endpoint.text(),
                               record.death.incarnation.text(), to_json(record.running)});
    if (!record.flowing.empty()) {
        fields[0] = layout_after_output;
        fields.push_back(to_json(record.flowing));
    }
    return json::to_cbor(fields);
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
    record.running = requests_of(value[3]);
    if (value.size() == fields_after_output) {
        record.flowing = requests_of(value[4]);
    }
    return record;
}

} // namespace ej::suspects_wire
