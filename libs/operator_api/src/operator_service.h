#pragma once

#include <operator_api/operator_routes.h>

#include <cxxtools/http/service.h>

namespace ej::operator_api {

/// Creates a responder for each connection that needs one.
class operator_service : public cxxtools::http::CachedServiceBase {
public:
    explicit operator_service(const operator_routes& routes) : routes_(routes) {}

protected:
    cxxtools::http::Responder* newResponder() override;

private:
    const operator_routes& routes_;
};

} // namespace ej::operator_api
