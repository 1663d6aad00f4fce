#include "json_reply.h"

#include <nlohmann/json.hpp>

namespace ej::stand_ins {

http_reply json_reply(unsigned status, const nlohmann::json& body)
{
    return http_reply{status, body.dump(), false};
}

http_reply error_reply(unsigned status, const std::string& fault)
{
    return json_reply(status, nlohmann::json{{"error", fault}});
}

http_reply not_run_reply()
{
    return http_reply{503, R"({"error":"refused"})", true};
}

} // namespace ej::stand_ins
