#pragma once

#include "json_reply.h"
#include "route.h"

#include <algorithm>

namespace ej::stand_ins {

/// Calls the handler of the first row of `routes` that matches; replies 404 when none does.
template <class Role, class Routes>
boost::asio::awaitable<answer> dispatch(Role& role, const Routes& routes, exchange& call)
{
    const auto found =
        std::ranges::find_if(routes, [&](const auto& row) { return row.matches(call.request()); });
    if (found == routes.end()) {
        co_return error_reply(404, "no such call");
    }
    co_return co_await (role.*found->handle)(call);
}

} // namespace ej::stand_ins
