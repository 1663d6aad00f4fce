#include <rollout_wire/rollout_codec.h>

#include <cbor/parse.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace ej::rollout_wire {

namespace {

using nlohmann::json;

// First element of the array; datagrams of other types begin with another number.
constexpr int report_layout = 14;
constexpr int verdict_layout = 15;
constexpr std::size_t report_fields = 9;
constexpr std::size_t verdict_fields = 3;
constexpr std::size_t route_fields = 3;
constexpr std::size_t counts_fields = 4;
constexpr std::size_t bucket_fields = 2;

bool is_count(const json& value)
{
    return value.is_number_unsigned();
}

bool is_small(const json& value)
{
    return is_count(value) &&
           value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}

bool is_bucket(const json& value)
{
    return value.is_array() && value.size() == bucket_fields && is_count(value[0]) &&
           value[0].get<std::uint64_t>() < rollout::latency_counts::buckets && is_small(value[1]);
}

bool is_latencies(const json& value)
{
    return value.is_array() && std::ranges::all_of(value, is_bucket);
}

bool is_counts(const json& value)
{
    return value.is_array() && value.size() == counts_fields && is_small(value[0]) &&
           is_latencies(value[1]) && is_latencies(value[2]) && is_latencies(value[3]);
}

bool is_route(const json& value)
{
    return value.is_array() && value.size() == route_fields && value[0].is_string() &&
           is_counts(value[1]) && is_counts(value[2]);
}

bool is_report(const json& value)
{
    return value.is_array() && value.size() == report_fields && value[0] == report_layout &&
           value[1].is_string() && is_count(value[2]) && is_count(value[3]) &&
           value[4].is_string() && is_count(value[5]) && is_small(value[6]) &&
           value[6].get<std::uint64_t>() <= rollout::whole_share && is_small(value[7]) &&
           value[8].is_array() && value[8].size() <= rollout::rollout_report::max_routes &&
           std::ranges::all_of(value[8], is_route);
}

bool is_verdict(const json& value)
{
    return value.is_array() && value.size() == verdict_fields && value[0] == verdict_layout &&
           value[1].is_string() && is_count(value[2]);
}

/// Only the buckets that are in use.
json to_json(const rollout::latency_counts& counts)
{
    json buckets = json::array();
    for (std::size_t bucket = 0; bucket < counts.count.size(); ++bucket) {
        if (counts.count.at(bucket) > 0) {
            buckets.push_back({bucket, counts.count.at(bucket)});
        }
    }
    return buckets;
}

json to_json(const rollout::answer_counts& counts)
{
    return json::array({counts.failed, to_json(counts.first_output), to_json(counts.whole),
                        to_json(counts.awaited)});
}

rollout::latency_counts latencies_of(const json& value)
{
    rollout::latency_counts made;
    for (const json& one : value) {
        made.count.at(one[0].get<std::size_t>()) = one[1].get<std::uint32_t>();
    }
    return made;
}

rollout::answer_counts counts_of(const json& value)
{
    return {value[0].get<std::uint32_t>(), latencies_of(value[1]), latencies_of(value[2]),
            latencies_of(value[3])};
}

} // namespace

std::vector<std::uint8_t> encode(const rollout::rollout_report& report)
{
    json routes = json::array();
    for (const auto& [name, answers] : report.answers) {
        routes.push_back({name, to_json(answers.target), to_json(answers.others)});
    }
    return json::to_cbor(json::array({report_layout, report.from.text(), report.start,
                                      report.number, report.service.text(), report.order.value(),
                                      report.to_target, report.runs_elsewhere, std::move(routes)}));
}

std::vector<std::uint8_t> encode(const rollout::rollout_verdict& verdict)
{
    return json::to_cbor(
        json::array({verdict_layout, verdict.service.text(), verdict.order.value()}));
}

absl::StatusOr<rollout_message> decode_rollout(std::span<const std::uint8_t> bytes)
{
    const auto value = cbor::parse(bytes.data(), bytes.size());
    if (is_verdict(value)) {
        return rollout::rollout_verdict{core::service_id(value[1].get<std::string>()),
                                        core::revision(value[2].get<std::uint64_t>())};
    }
    if (!is_report(value)) {
        return absl::InvalidArgumentError("not a message about a roll-out");
    }
    rollout::rollout_report made{core::vm_id(value[1].get<std::string>()),
                                 value[2].get<std::uint64_t>(),
                                 value[3].get<std::uint64_t>(),
                                 core::service_id(value[4].get<std::string>()),
                                 core::revision(value[5].get<std::uint64_t>()),
                                 value[6].get<rollout::share>(),
                                 value[7].get<std::uint32_t>(),
                                 {}};
    for (const json& one : value[8]) {
        made.answers[one[0].get<std::string>()] = {counts_of(one[1]), counts_of(one[2])};
    }
    return made;
}

} // namespace ej::rollout_wire
