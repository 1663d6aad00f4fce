#include "json.h"

#include <wire/load_response.h>

#include <string>

namespace ej::wire {

namespace {

template <class T>
T value_or(const json& body, const char* name, const T& fallback)
{
    const auto found = body.find(name);
    if constexpr (std::is_same_v<T, bool>) {
        return found != body.end() && found->is_boolean() ? found->get<bool>() : fallback;
    }
    else if constexpr (std::is_same_v<T, std::string>) {
        return found != body.end() && found->is_string() ? found->get<std::string>() : fallback;
    }
    else if constexpr (std::is_same_v<T, double>) {
        return found != body.end() && found->is_number() ? found->get<double>() : fallback;
    }
    else {
        return found != body.end() && found->is_number_unsigned() ? found->get<T>() : fallback;
    }
}

} // namespace

absl::StatusOr<load_response> parse_load_response(std::string_view text)
{
    const auto body = parse_json(text);
    if (!body.is_object()) {
        return absl::InvalidArgumentError("load report is not an object");
    }
    load_response answer;
    answer.endpoint = core::endpoint_id(value_or(body, "endpoint", std::string()));
    answer.incarnation = core::incarnation_id(value_or(body, "incarnation", std::string()));
    if (answer.endpoint.empty() || answer.incarnation.empty()) {
        return absl::InvalidArgumentError("load report lacks the endpoint or the incarnation");
    }
    answer.leaving = value_or(body, "leaving", false);
    answer.slots = value_or(body, "slots", answer.slots);
    answer.running = value_or(body, "running", answer.running);
    answer.waiting = value_or(body, "waiting", answer.waiting);
    answer.tokens_per_second = value_or(body, "tokens_per_second", answer.tokens_per_second);
    return answer;
}

} // namespace ej::wire
