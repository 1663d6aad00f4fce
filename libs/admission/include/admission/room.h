#pragma once

namespace ej::admission {

/// What the endpoints of a service have room for.
enum class room {
    none,
    urgent_only, ///< Classes with a short target, which engines run first.
    any
};

} // namespace ej::admission
