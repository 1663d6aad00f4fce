#include "operator_service.h"

#include "operator_responder.h"

namespace ej::operator_api {

// The base class owns and deletes the returned responder.
cxxtools::http::Responder* operator_service::newResponder()
{
    return std::make_unique<operator_responder>(*this, routes_).release();
}

} // namespace ej::operator_api
