#include <suspects_wire/evidence_codec.h>

#include "digest_list.h"

#include <cbor/parse.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <utility>

namespace ej::suspects_wire {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// First element of the array; datagrams of other types begin with another number.
constexpr int query_layout = 12;
constexpr int report_layout = 13;
constexpr std::size_t query_fields = 1;
constexpr std::size_t report_fields = 3;
constexpr std::size_t death_fields = 5;

// Longer ages make no sense and could overflow the clock's type.
constexpr std::chrono::hours longest_age{24};

bool is_age(const json& value)
{
    return value.is_number_unsigned() &&
           value.get<std::uint64_t>() <=
               static_cast<std::uint64_t>(milliseconds(longest_age).count());
}

bool is_death(const json& value)
{
    return value.is_array() && value.size() == death_fields && value[0].is_string() &&
           value[1].is_string() && is_digest_list(value[2]) && is_digest_list(value[3]) &&
           is_age(value[4]);
}

bool is_query(const json& value)
{
    return value.is_array() && value.size() == query_fields && value[0] == query_layout;
}

bool is_report(const json& value)
{
    return value.is_array() && value.size() == report_fields && value[0] == report_layout &&
           value[1].is_boolean() && value[2].is_array() && std::ranges::all_of(value[2], is_death);
}

json death_json(const suspects::aged_death& one)
{
    const auto age = std::clamp<core::duration>(one.age, core::duration::zero(), longest_age);
    const auto age_ms = std::chrono::duration_cast<milliseconds>(age).count();
    return json::array({one.record.death.endpoint.text(), one.record.death.incarnation.text(),
                        to_json(one.record.running), to_json(one.record.flowing),
                        static_cast<std::uint64_t>(age_ms)});
}

suspects::aged_death death_of(const json& value)
{
    return {{{core::endpoint_id(value[0].get<std::string>()),
              core::incarnation_id(value[1].get<std::string>())},
             requests_of(value[2]),
             requests_of(value[3])},
            milliseconds(value[4].get<std::int64_t>())};
}

} // namespace

std::vector<std::uint8_t> encode(const suspects::evidence_query& /*query*/)
{
    return json::to_cbor(json::array({query_layout}));
}

std::vector<std::uint8_t> encode(const suspects::evidence_report& report)
{
    json deaths = json::array();
    for (const suspects::aged_death& one : report.deaths) {
        deaths.push_back(death_json(one));
    }
    return json::to_cbor(json::array({report_layout, report.informed, std::move(deaths)}));
}

absl::StatusOr<evidence_message> decode_evidence(std::span<const std::uint8_t> bytes)
{
    const auto value = cbor::parse(bytes.data(), bytes.size());
    if (is_query(value)) {
        return suspects::evidence_query();
    }
    if (is_report(value)) {
        suspects::evidence_report report{value[1].get<bool>(), {}};
        std::ranges::transform(value[2], std::back_inserter(report.deaths), death_of);
        return report;
    }
    return absl::InvalidArgumentError("not a message that hands evidence on");
}

} // namespace ej::suspects_wire
