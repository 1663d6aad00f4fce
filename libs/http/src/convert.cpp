#include "convert.h"

#include <http/response.h>

#include <algorithm>
#include <iterator>

namespace ej::http {

namespace {

constexpr unsigned http_version = 11;

} // namespace

wire::request<wire::string_body> to_wire(const request& outgoing, const core::address& destination)
{
    wire::request<wire::string_body> message;
    message.version(http_version);
    message.method_string(outgoing.method);
    message.target(outgoing.target);
    message.set(wire::field::host, core::to_string(destination));
    std::ranges::for_each(outgoing.headers,
                          [&](const header& field) { message.insert(field.name, field.value); });
    message.body() = outgoing.body;
    message.prepare_payload();
    return message;
}

std::vector<header> to_headers(const wire::fields& fields)
{
    std::vector<header> headers;
    std::transform(fields.begin(), fields.end(), std::back_inserter(headers),
                   [](const auto& field) {
                       return header{std::string(field.name_string()), std::string(field.value())};
                   });
    return headers;
}

std::optional<std::string> find_header(const std::vector<header>& headers, std::string_view name)
{
    const auto found = std::ranges::find_if(headers, [&](const header& field) {
        return beast::iequals(field.name, beast::string_view(name.data(), name.size()));
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

std::optional<std::string> request::header_value(std::string_view name) const
{
    return find_header(headers, name);
}

std::optional<std::string> response::header_value(std::string_view name) const
{
    return find_header(headers, name);
}

} // namespace ej::http
