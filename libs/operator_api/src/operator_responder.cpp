#include "operator_responder.h"

#include "encode_status.h"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include <ostream>
#include <stdexcept>
#include <string_view>

namespace ej::operator_api {

namespace {

constexpr std::size_t max_body_bytes = std::size_t{64} << 10;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_too_large = 413;
constexpr std::string_view bearer = "Bearer ";

std::string header(const cxxtools::http::Request& request, const char* name)
{
    const char* const value = request.getHeader(name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string presented_key(const cxxtools::http::Request& request)
{
    const std::string value = header(request, "Authorization");
    return value.starts_with(bearer) ? value.substr(bearer.size()) : std::string();
}

void send(std::ostream& out, cxxtools::http::Reply& reply, const operator_response& answer)
{
    reply.httpReturn(answer.status, answer.status < status_bad_request ? "OK" : "Error");
    reply.setHeader("Content-Type", answer.content_type.c_str());
    out << answer.body;
}

} // namespace

operator_responder::operator_responder(cxxtools::http::Service& service,
                                       const operator_routes& routes)
    : Responder(service), routes_(routes)
{
}

void operator_responder::beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                                      cxxtools::http::Request& request)
{
    Responder::beginRequest(socket, in, request);
    if (request.header().chunkedTransferEncoding() ||
        request.header().contentLength() > max_body_bytes) {
        throw std::length_error("body is too large or of unknown length");
    }
}

void operator_responder::reply(std::ostream& out, cxxtools::http::Request& request,
                               cxxtools::http::Reply& reply)
{
    send(out, reply,
         routes_.answer({request.method(), request.url(), request.qparams(), presented_key(request),
                         header(request, "Change-Id"), request.bodyStr()}));
}

void operator_responder::replyError(std::ostream& out, cxxtools::http::Request& /*request*/,
                                    cxxtools::http::Reply& reply, const std::exception& error)
{
    // The body is left unread, so the connection cannot be reused.
    reply.setHeader("Connection", "close");
    const bool too_large = dynamic_cast<const std::length_error*>(&error) != nullptr;
    send(out, reply,
         {too_large ? status_too_large : status_bad_request, encode_error(error.what())});
}

} // namespace ej::operator_api
