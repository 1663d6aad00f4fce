#pragma once

namespace ej::actions {

/// Effects of an action that the daemon performs.
enum class effect_kind {
    claim,   ///< Bind the key to this incarnation with `nonce`.
    connect, ///< Open a new connection for `attempt` of the request submitted by `waiter`.
    send,    ///< Write the request of `attempt` on its connection, once.
    forward, ///< Forward the submission of `waiter` to `owner`, with `nonce`.
    answer   ///< Answer `waiter` with `outcome`.
};

} // namespace ej::actions
