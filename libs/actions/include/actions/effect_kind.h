#pragma once

namespace ej::actions {

/// What a daemon has to do for an action.
enum class effect_kind {
    claim,   ///< Bind the key to this incarnation; `nonce`.
    connect, ///< Open a new connection for `attempt` of the request that `waiter` brought.
    send,    ///< Write the request of `attempt` on its connection, once.
    forward, ///< Pass the submission of `waiter` on to `owner`, with `nonce`.
    answer   ///< Give `outcome` to `waiter`.
};

} // namespace ej::actions
