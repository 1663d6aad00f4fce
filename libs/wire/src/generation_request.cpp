#include "fields.h"

#include <wire/generation_request.h>

#include <algorithm>
#include <iterator>

namespace ej::wire {

namespace {

std::uint32_t max_tokens_field(const json& body, core::findings& faults)
{
    const auto found = body.find("max_tokens");
    if (found == body.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() == 0 ||
        found->get<std::uint64_t>() > max_tokens_bound) {
        faults.add("max_tokens",
                   "must be a whole number from 1 to " + std::to_string(max_tokens_bound));
        return 0;
    }
    return found->get<std::uint32_t>();
}

std::vector<std::string> delivered_field(const json& body, core::findings& faults)
{
    const auto found = body.find("delivered");
    if (found == body.end()) {
        return {};
    }
    if (!found->is_array() ||
        !std::ranges::all_of(*found, [](const json& token) { return token.is_string(); })) {
        faults.add("delivered", "must be a list of strings");
        return {};
    }
    std::vector<std::string> tokens;
    std::ranges::transform(*found, std::back_inserter(tokens),
                           [](const json& token) { return token.get<std::string>(); });
    return tokens;
}

} // namespace

generation_request parse_generation_request(std::string_view text, core::findings& faults)
{
    const auto body = parse_json(text);
    if (!body.is_object()) {
        faults.add("body", "must be a JSON object");
        return {};
    }
    generation_request request;
    request.work_class = core::class_id(text_field(body, "class", faults));
    request.prompt = text_field(body, "prompt", faults);
    request.max_tokens = max_tokens_field(body, faults);
    request.delivered = delivered_field(body, faults);
    if (request.delivered.size() > request.max_tokens) {
        faults.add("delivered", "has more tokens than max_tokens");
    }
    return request;
}

} // namespace ej::wire
