#pragma once

#include <operator_api/operator_routes.h>

#include <cxxtools/http/responder.h>

namespace ej::operator_api {

/// Passes one request at a time from cxxtools to the routes and sends the response.
class operator_responder : public cxxtools::http::Responder {
public:
    operator_responder(cxxtools::http::Service& service, const operator_routes& routes);

    void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                      cxxtools::http::Request& request) override;
    void reply(std::ostream& out, cxxtools::http::Request& request,
               cxxtools::http::Reply& reply) override;
    void replyError(std::ostream& out, cxxtools::http::Request& request,
                    cxxtools::http::Reply& reply, const std::exception& error) override;

private:
    const operator_routes& routes_;
};

} // namespace ej::operator_api
