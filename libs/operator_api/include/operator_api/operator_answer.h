#pragma once

#include <compare>
#include <string>

namespace ej::operator_api {

/// An answer of the operator interface, apart from its transport.
struct operator_answer {
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";

    friend auto operator<=>(const operator_answer&, const operator_answer&) = default;
};

} // namespace ej::operator_api
