#include "parse_generation_parameters.h"

#include <stand_ins/token_text.h>

#include <nlohmann/json.hpp>

namespace ej::stand_ins {

generation_parameters parse_generation_parameters(const nlohmann::json& body)
{
    generation_parameters parameters;
    body.at("request").get_to(parameters.request);
    body.at("attempt").get_to(parameters.attempt);
    body.at("prompt").get_to(parameters.prompt);
    body.at("max_tokens").get_to(parameters.max_tokens);
    parameters.priority = body.value("priority", std::int64_t{0});
    parameters.prefix = split_tokens(body.value("prefix_text", std::string{}));
    return parameters;
}

} // namespace ej::stand_ins
