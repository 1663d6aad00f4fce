#include <operator_api/operator_routes.h>

#include "encode_status.h"
#include "query_number.h"
#include "route.h"
#include "submission_response.h"

#include <config_wire/object_codec.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ej::operator_api {

namespace {

constexpr unsigned status_accepted = 202;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_not_allowed = 405;
constexpr unsigned status_precondition_required = 428;
constexpr unsigned status_unavailable = 503;

operator_response error(unsigned status, const std::string& what)
{
    return {status, encode_error(what)};
}

operator_response malformed(const absl::Status& status)
{
    core::findings faults;
    faults.add("body", std::string(status.message()));
    return {status_bad_request, encode_error("malformed", {}, faults)};
}

template <class Objects, class Key>
auto value_or_default(const Objects& objects, const Key& name)
{
    typename Objects::mapped_type present;
    const auto found = objects.find(name);
    if (found != objects.end()) {
        present = found->second;
    }
    present.value.name = name;
    return present.value;
}

template <class Objects, class Key, class Encode>
operator_response show(const Objects& objects, const Key& name, Encode encode)
{
    const auto found = objects.find(name);
    return found == objects.end() ? error(status_not_found, "not_found")
                                  : operator_response{200, encode(found->second)};
}

} // namespace

operator_routes::operator_routes(operator_backend& backend, operator_key key)
    : backend_(backend), key_(std::move(key))
{
}

operator_response operator_routes::answer(const operator_request& request) const
{
    static constexpr std::array<route, 14> routes{
        {{"GET", "/healthz", false, &operator_routes::healthz},
         {"GET", "/readyz", false, &operator_routes::readyz},
         {"GET", "/metrics", false, &operator_routes::metrics},
         {"GET", "/status", true, &operator_routes::status},
         {"GET", "/classes", true, &operator_routes::list_classes},
         {"GET", "/classes/", true, &operator_routes::show_class},
         {"PUT", "/classes/", true, &operator_routes::put_class},
         {"DELETE", "/classes/", true, &operator_routes::delete_class},
         {"GET", "/workspaces", true, &operator_routes::list_workspaces},
         {"GET", "/workspaces/", true, &operator_routes::show_workspace},
         {"PUT", "/workspaces/", true, &operator_routes::put_workspace},
         {"DELETE", "/workspaces/", true, &operator_routes::delete_workspace},
         {"POST", "/drain", true, &operator_routes::drain},
         {"POST", "/restore", true, &operator_routes::restore}}};
    const auto has_path = [&](const route& row) { return row.has_path(request.path); };
    const auto matches = [&](const route& row) {
        return has_path(row) && row.method == request.method;
    };
    const auto* const found = std::ranges::find_if(routes, matches);
    if (found == routes.end()) {
        return std::ranges::any_of(routes, has_path) ? error(status_not_allowed, "method")
                                                     : error(status_not_found, "not_found");
    }
    if (found->needs_key && !key_.matches(request.key)) {
        return error(status_unauthorized, "unauthenticated");
    }
    const std::size_t prefix = std::min(found->path.size(), request.path.size());
    return (this->*found->handler)(request, request.path.substr(prefix));
}

operator_response operator_routes::healthz(const operator_request& /*request*/,
                                           const object_name& /*which*/) const
{
    return {200, "ok\n", "text/plain"};
}

operator_response operator_routes::readyz(const operator_request& /*request*/,
                                          const object_name& /*which*/) const
{
    return backend_.ready() ? operator_response{200, "ready\n", "text/plain"}
                            : operator_response{status_unavailable, "not ready\n", "text/plain"};
}

operator_response operator_routes::metrics(const operator_request& /*request*/,
                                           const object_name& /*which*/) const
{
    return {200, backend_.metrics_text(), "text/plain; version=0.0.4"};
}

operator_response operator_routes::status(const operator_request& /*request*/,
                                          const object_name& /*which*/) const
{
    return {200, encode_status(backend_.status())};
}

operator_response operator_routes::list_classes(const operator_request& /*request*/,
                                                const object_name& /*which*/) const
{
    return {200, config_wire::encode_classes(backend_.configuration_in_force())};
}

operator_response operator_routes::show_class(const operator_request& /*request*/,
                                              const object_name& which) const
{
    return show(backend_.configuration_in_force().classes(), core::class_id(which),
                config_wire::encode_class);
}

operator_response operator_routes::put_class(const operator_request& request,
                                             const object_name& which) const
{
    const auto defaults =
        value_or_default(backend_.configuration_in_force().classes(), core::class_id(which));
    auto parsed = config_wire::parse_class(request.body, defaults);
    if (!parsed.ok()) {
        return malformed(parsed.status());
    }
    parsed->name = core::class_id(which);
    return submit(request, config::put_class{*std::move(parsed)});
}

operator_response operator_routes::delete_class(const operator_request& request,
                                                const object_name& which) const
{
    return submit(request, config::delete_class{core::class_id(which)});
}

operator_response operator_routes::list_workspaces(const operator_request& /*request*/,
                                                   const object_name& /*which*/) const
{
    return {200, config_wire::encode_workspaces(backend_.configuration_in_force())};
}

operator_response operator_routes::show_workspace(const operator_request& /*request*/,
                                                  const object_name& which) const
{
    return show(backend_.configuration_in_force().workspaces(), core::workspace_id(which),
                config_wire::encode_workspace);
}

operator_response operator_routes::put_workspace(const operator_request& request,
                                                 const object_name& which) const
{
    const auto defaults =
        value_or_default(backend_.configuration_in_force().workspaces(), core::workspace_id(which));
    auto parsed = config_wire::parse_workspace(request.body, defaults);
    if (!parsed.ok()) {
        return malformed(parsed.status());
    }
    parsed->name = core::workspace_id(which);
    return submit(request, config::put_workspace{*std::move(parsed)});
}

operator_response operator_routes::delete_workspace(const operator_request& request,
                                                    const object_name& which) const
{
    return submit(request, config::delete_workspace{core::workspace_id(which)});
}

operator_response operator_routes::drain(const operator_request& /*request*/,
                                         const object_name& /*which*/) const
{
    backend_.drain();
    return {status_accepted, "{}"};
}

operator_response operator_routes::restore(const operator_request& /*request*/,
                                           const object_name& /*which*/) const
{
    return backend_.restore_platform() ? operator_response{200, "{}"}
                                       : error(status_unavailable, "not_restored");
}

operator_response operator_routes::submit(const operator_request& request,
                                          config::action what) const
{
    const auto expected = query_number(request.query, "if_revision");
    if (!expected) {
        return error(status_precondition_required, "if_revision is missing");
    }
    const config::change_id id =
        request.change_id.empty() ? backend_.new_change_id() : config::change_id(request.change_id);
    return submission_response(backend_.submit({id, core::revision(*expected), std::move(what)}));
}

} // namespace ej::operator_api
