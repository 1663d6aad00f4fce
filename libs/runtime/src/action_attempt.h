#pragma once

#include "services.h"
#include "short_call.h"

#include <actions/action_event.h>
#include <routing/placement.h>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace ej::runtime {

/// An endpoint with room for `call`, waited for until its deadline.
boost::asio::awaitable<std::optional<routing::placement>>
place_action(std::shared_ptr<services> shared, std::shared_ptr<const short_call> call);

/// Sends `call` to `where` once, on a connection of its own, and says how that ended.
boost::asio::awaitable<actions::action_event> send_action(std::shared_ptr<services> shared,
                                                          routing::placement where,
                                                          std::shared_ptr<const short_call> call);

/// Gives back a place that was not used.
void release_unused(services& shared, const routing::placement& where);

} // namespace ej::runtime
