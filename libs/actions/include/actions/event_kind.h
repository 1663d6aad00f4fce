#pragma once

#include <cstddef>

namespace ej::actions {

/// Events of an action.
enum class event_kind {
    submitted,        ///< A request arrived; sets `arrival`, and `nonce` for a first claim.
    bound,            ///< The claim is confirmed: this incarnation owns the key.
    bind_conflict,    ///< Another incarnation owns the key; sets `owner`, `nonce`.
    bind_stale,       ///< An earlier record of this incarnation, since dropped, owns the key.
    bind_failed,      ///< The claim was given up; sets `unknown_cause`.
    rejected,         ///< Admission control refused an action that was not sent; sets `refusal`.
    connected,        ///< The connection for `attempt` is open; nothing has been written.
    connect_failed,   ///< The connection for `attempt` could not be opened.
    answered,         ///< The application answered `attempt`; sets `result`.
    answered_not_run, ///< The application reported that `attempt` did not run.
    connection_lost,  ///< The connection of `attempt` ended without an answer.
    deadline,         ///< Check the deadlines of waiting submissions.
    result_dropped    ///< The result was evicted to bound memory.
};

inline constexpr std::size_t event_kind_count = 13;

} // namespace ej::actions
