#pragma once

#include <operator_api/operator_routes.h>

#include <string_view>

namespace ej::operator_api {

/// A row of the table of routes.
struct operator_routes::route {
    std::string_view method;
    std::string_view path; ///< A trailing '/' stands before the object's name.
    bool needs_key;
    operator_answer (operator_routes::*handler)(const operator_request&, const name&) const;

    /// True if the row is for `asked`, whatever its method.
    [[nodiscard]] bool has_path(std::string_view asked) const
    {
        return path.ends_with('/') ? asked.starts_with(path) && asked.size() > path.size()
                                   : asked == path;
    }
};

} // namespace ej::operator_api
