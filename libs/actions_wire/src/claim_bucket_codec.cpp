#include <actions_wire/claim_bucket_codec.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iterator>

namespace ej::actions_wire {

namespace {

using nlohmann::json;

// Arrays instead of objects keep a claim to about 60 characters.
json encode_owner(const actions::owner& value)
{
    return json::array({value.incarnation.text(), value.peer.host, value.peer.port});
}

json encode_entry(const actions::claim_entry& value)
{
    return json::array(
        {value.action.high, value.action.low, value.owner_index, value.nonce.value()});
}

actions::owner decode_owner(const json& fields)
{
    return {core::incarnation_id(fields.at(0).get<std::string>()),
            {fields.at(1).get<std::string>(), fields.at(2).get<std::uint16_t>()}};
}

actions::claim_entry decode_entry(const json& fields)
{
    return {{fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::uint64_t>()},
            fields.at(2).get<std::uint32_t>(),
            actions::claim_nonce(fields.at(3).get<std::uint64_t>())};
}

bool is_consistent(const actions::claim_bucket& bucket)
{
    return std::ranges::all_of(bucket.entries,
                               [&](const actions::claim_entry& entry) {
                                   return entry.owner_index < bucket.owners.size();
                               }) &&
           std::ranges::adjacent_find(bucket.entries, std::greater_equal<>{},
                                      &actions::claim_entry::action) == bucket.entries.end();
}

} // namespace

std::string encode(const actions::claim_bucket& bucket)
{
    json owners = json::array();
    json claims = json::array();
    std::ranges::transform(bucket.owners, std::back_inserter(owners), encode_owner);
    std::ranges::transform(bucket.entries, std::back_inserter(claims), encode_entry);
    const json object{{"clock", bucket.clock.time_since_epoch().count()},
                      {"owners", std::move(owners)},
                      {"claims", std::move(claims)}};
    return object.dump();
}

absl::StatusOr<actions::claim_bucket> decode_claim_bucket(std::string_view text)
{
    actions::claim_bucket bucket;
    if (text.empty()) {
        return bucket;
    }
    try {
        const json object = json::parse(text);
        bucket.clock =
            actions::wall_time(std::chrono::milliseconds(object.at("clock").get<std::int64_t>()));
        std::ranges::transform(object.at("owners"), std::back_inserter(bucket.owners),
                               decode_owner);
        std::ranges::transform(object.at("claims"), std::back_inserter(bucket.entries),
                               decode_entry);
    }
    catch (const json::exception& fault) {
        return absl::InvalidArgumentError(fault.what());
    }
    if (!is_consistent(bucket)) {
        return absl::InvalidArgumentError("claims are out of order or lack an owner");
    }
    return bucket;
}

} // namespace ej::actions_wire
