#pragma once

namespace ej::lease {

/// What is asked of the platform.
enum class call_kind {
    create, ///< A new lease.
    claim,  ///< Write the key under the lease if it is absent.
    read,   ///< Read the key: free, or whose it is.
    renew   ///< Keep the lease alive.
};

} // namespace ej::lease
