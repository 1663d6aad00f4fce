#include "registration.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace ej::stand_ins {

namespace {

namespace http = boost::beast::http;

std::string entry(const options& settings, const core::address& where,
                  const std::string& incarnation)
{
    return nlohmann::json{{"vm", settings.name},         {"domain", settings.domain},
                          {"role", settings.role},       {"endpoint", settings.name},
                          {"service", settings.service}, {"address", core::to_string(where)},
                          {"incarnation", incarnation},  {"state", "live"},
                          {"slots", settings.slots},     {"checks_fencing", settings.check_fencing}}
        .dump();
}

} // namespace

void register_vm(const options& settings, const core::address& where,
                 const std::string& incarnation)
{
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.connect(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address(settings.platform->host), settings.platform->port));
    http::request<http::string_body> call(http::verb::post, "/vms", 11);
    call.body() = entry(settings, where, incarnation);
    call.prepare_payload();
    http::write(stream, call);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    http::read(stream, buffer, answer);
}

} // namespace ej::stand_ins
