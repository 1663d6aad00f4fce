#include "object_type.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace ej::commands {

namespace {

using json = nlohmann::json;

template <class T>
void put(json& object, const char* name, const std::optional<T>& value)
{
    if (value) {
        object[name] = *value;
    }
}

std::string class_body(const command_options& options)
{
    json target = json::object();
    put(target, "first_token_ms", options.first_token_ms);
    put(target, "finish_ms", options.finish_ms);
    put(target, "resume_ms", options.resume_ms);
    put(target, "max_waiting", options.max_waiting);
    put(target, "extra_work_percent", options.extra_work_percent);
    json body{{"target", std::move(target)}};
    put(body, "service", options.service);
    put(body, "kind", options.kind);
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string workspace_body(const command_options& options)
{
    json body = json::object();
    put(body, "share_ppm", options.share_ppm);
    return body.dump();
}

} // namespace

const object_type& class_type()
{
    static constexpr object_type type{"/classes", "classes", &class_body};
    return type;
}

const object_type& workspace_type()
{
    static constexpr object_type type{"/workspaces", "workspaces", &workspace_body};
    return type;
}

std::string path_of(const object_type& type, const std::string& name)
{
    return std::string(type.collection) + '/' + name;
}

} // namespace ej::commands
