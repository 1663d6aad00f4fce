#pragma once

#include <core/endpoint.h>
#include <core/vm_id.h>
#include <peer_wire/opaque_message.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ej::runtime {

/// What the daemon does upon what it learns from its peers. All return at once; unset ones are
/// skipped.
struct member_hooks {
    using reply_function = std::function<void(std::string payload)>;

    /// The endpoints that may get new work, when they have changed. Called in order.
    std::function<void(const std::vector<core::endpoint>&)> on_endpoints;

    /// A message of another library has come. Called on the transport's thread.
    std::function<void(const core::vm_id& from, const peer_wire::opaque_message&)> on_message;

    /// The same, with an answer awaited.
    std::function<void(const core::vm_id& from, const peer_wire::opaque_message&, reply_function)>
        on_request;

    /// A peer's message was dropped; `reason` is a name for metrics.
    std::function<void(std::string_view reason)> on_dropped;
};

} // namespace ej::runtime
