#pragma once

#include <cstddef>

namespace ej::actions {

/// What can happen to an action.
enum class event_kind {
    submitted,        ///< A request arrived; `arrival`, and `nonce` for a first claim.
    bound,            ///< The claim is known to stand for this incarnation.
    bind_conflict,    ///< Another incarnation owns the key; `owner`, `nonce`.
    bind_stale,       ///< An earlier record of this incarnation, since dropped, owns the key.
    bind_failed,      ///< The claim was given up; `doubt`.
    rejected,         ///< Admission refuses an action that is not sent; `refusal`.
    connected,        ///< A connection for `attempt` stands; nothing is written yet.
    connect_failed,   ///< No connection for `attempt` came about.
    answered,         ///< The application's answer to `attempt`; `result`.
    answered_not_run, ///< The application says that `attempt` did not run.
    connection_lost,  ///< The connection of `attempt` ended without an answer.
    deadline,         ///< Time has passed.
    result_dropped    ///< The result's memory is wanted back.
};

inline constexpr std::size_t event_kind_count = 13;

} // namespace ej::actions
