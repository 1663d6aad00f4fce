#include "parse_generation_order.h"

#include <stand_ins/token_text.h>

#include <nlohmann/json.hpp>

namespace ej::stand_ins {

generation_order parse_generation_order(const nlohmann::json& body)
{
    generation_order order;
    body.at("request").get_to(order.request);
    body.at("attempt").get_to(order.attempt);
    body.at("prompt").get_to(order.prompt);
    body.at("max_tokens").get_to(order.max_tokens);
    order.priority = body.value("priority", std::int64_t{0});
    order.prefix = split_tokens(body.value("prefix_text", std::string{}));
    return order;
}

} // namespace ej::stand_ins
