#pragma once

#include <string_view>

namespace ej::membership {

/// The state of a daemon. At equal versions the later enumerator takes precedence.
enum class member_state {
    alive,
    leaving, ///< Drains; accepts no new work.
    suspect, ///< A peer lost its connection; the daemon may refute it.
    dead
};

/// The name used in messages and status.
[[nodiscard]] std::string_view to_string(member_state state);

} // namespace ej::membership
