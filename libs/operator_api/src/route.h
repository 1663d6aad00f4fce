#pragma once

#include <operator_api/operator_routes.h>

#include <string_view>

namespace ej::operator_api {

/// A row of the table of routes.
struct operator_routes::route {
    std::string_view method;
    std::string_view path; ///< A trailing '/' stands before the object's name.
    bool needs_key;
    operator_response (operator_routes::*handler)(const operator_request&,
                                                  const object_name&) const;

    /// True if the row is for `request_path`, whatever its method.
    [[nodiscard]] bool has_path(std::string_view request_path) const
    {
        return path.ends_with('/')
                   ? request_path.starts_with(path) && request_path.size() > path.size()
                   : request_path == path;
    }
};

} // namespace ej::operator_api
