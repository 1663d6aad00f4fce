#pragma once

#include "daemon_context.h"
#include "short_call.h"

#include <actions/action_event.h>
#include <routing/endpoint_assignment.h>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace ej::runtime {

/// Waits until an endpoint has room for `call`, at most until the call's deadline; empty if none
/// had.
boost::asio::awaitable<std::optional<routing::endpoint_assignment>>
place_action(std::shared_ptr<daemon_context> shared, std::shared_ptr<const short_call> call);

/// Sends `call` to `where` once, on a new connection, and returns the event for its outcome.
boost::asio::awaitable<actions::action_event> send_action(std::shared_ptr<daemon_context> shared,
                                                          routing::endpoint_assignment where,
                                                          std::shared_ptr<const short_call> call);

/// Releases a placement that was not used.
void release_unused(daemon_context& shared, const routing::endpoint_assignment& where);

} // namespace ej::runtime
