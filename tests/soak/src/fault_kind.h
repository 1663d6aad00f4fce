#pragma once

#include <cstddef>

namespace ej::soak {

/// Faults that the soak injects.
enum class fault_kind {
    kill_daemon,
    stop_daemon, ///< SIGTERM, then a restart.
    pause_daemon,
    cut_store,
    delay_store,
    mute_store,
    reset_store,
    store_outage,
    drop_history,
    kill_endpoint,
    pause_endpoint,
    drain_endpoint,
    cut_endpoint,
    mute_endpoint,
    reset_endpoint,
    slow_endpoint,
    one_way_endpoint,
    change_configuration,
    reload_settings,  ///< SIGHUP, which reloads the settings.
    leave_in_answers, ///< An endpoint says in its answers alone that it leaves.
    ask_for_pause     ///< An endpoint refuses requests and asks for a pause.
};

inline constexpr std::size_t fault_kind_count = 21;

} // namespace ej::soak
