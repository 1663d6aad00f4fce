#pragma once

#include <compare>
#include <string>

namespace ej::operator_api {

/// A response of the operator interface, independent of the transport.
struct operator_response {
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";

    friend auto operator<=>(const operator_response&, const operator_response&) = default;
};

} // namespace ej::operator_api
