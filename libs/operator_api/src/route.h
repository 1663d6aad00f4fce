#pragma once

#include <operator_api/operator_routes.h>

#include <string_view>

namespace ej::operator_api {

/// A row of the routing table.
struct operator_routes::route {
    std::string_view method;
    std::string_view path; ///< With a trailing '/', the object's name follows.
    bool needs_key;
    operator_response (operator_routes::*handler)(const operator_request&,
                                                  const object_name&) const;

    /// True if the row matches `request_path`, regardless of the method.
    [[nodiscard]] bool has_path(std::string_view request_path) const
    {
        return path.ends_with('/')
                   ? request_path.starts_with(path) && request_path.size() > path.size()
                   : request_path == path;
    }
};

} // namespace ej::operator_api
