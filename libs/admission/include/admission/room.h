#pragma once

namespace ej::admission {

/// Which classes the endpoints of a service can take requests of.
enum class room {
    none,
    urgent_only, ///< Classes with a short target, which engines run first.
    any
};

} // namespace ej::admission
