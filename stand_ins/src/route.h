#pragma once

#include <utility>

#include "answer.h"
#include "exchange.h"

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace ej::stand_ins {

/// A row of a role's routing table. A path that ends in '/' matches every path with that prefix.
template <class Role>
struct route {
    std::string_view method;
    std::string_view path;
    boost::asio::awaitable<answer> (Role::*handle)(exchange&);

    /// True if this row handles `request`.
    [[nodiscard]] bool matches(const http_request& request) const
    {
        const bool path_fits =
            path.ends_with('/') ? request.path.starts_with(path) : request.path == path;
        return path_fits && (method.empty() || request.method == method);
    }
};

} // namespace ej::stand_ins
