#pragma once

#include <compare>
#include <string>

namespace ej::operator_api {

/// A request to the operator interface, independent of the transport.
struct operator_request {
    std::string method;
    std::string path;      ///< Without the query.
    std::string query;     ///< "name=value&..."; may be empty.
    std::string key;       ///< The operator key presented; may be empty.
    std::string change_id; ///< Identifies the change, so that a retry has no further effect.
    std::string body;

    friend auto operator<=>(const operator_request&, const operator_request&) = default;
};

} // namespace ej::operator_api
