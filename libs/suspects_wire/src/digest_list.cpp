#include "digest_list.h"

#include <algorithm>
#include <cstdint>

namespace ej::suspects_wire {

using nlohmann::json;

bool is_digest_list(const json& value)
{
    return value.is_array() && std::ranges::all_of(value, [](const json& digest) {
               return digest.is_number_unsigned();
           });
}

json to_json(const std::vector<suspects::request_digest>& requests)
{
    json digests = json::array();
    for (const suspects::request_digest request : requests) {
        digests.push_back(request.value());
    }
    return digests;
}

std::vector<suspects::request_digest> requests_of(const json& value)
{
    std::vector<suspects::request_digest> requests;
    for (const json& digest : value) {
        requests.emplace_back(digest.get<std::uint64_t>());
    }
    std::ranges::sort(requests);
    return requests;
}

} // namespace ej::suspects_wire
