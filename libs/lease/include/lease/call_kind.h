#pragma once

namespace ej::lease {

/// The operation that a call to the platform requests.
enum class call_kind {
    create, ///< Create a lease.
    claim,  ///< Write the key under the lease if it is absent.
    read,   ///< Read the key: absent, or the lease that wrote it.
    renew   ///< Keep the lease alive.
};

} // namespace ej::lease
