#pragma once

#include <cstddef>

namespace ej::actions {

/// What can happen to a claim bucket's writer.
enum class lane_event_kind {
    claim_wanted,   ///< `wanted` is to be bound.
    turn_came,      ///< The time given by `schedule` has come.
    read_answered,  ///< `bucket` stands at `revision`; 0 when the store has none.
    read_failed,    ///< The read brought no answer.
    write_accepted, ///< The write took effect at `revision`.
    write_refused,  ///< Another write came before.
    write_failed    ///< The write brought no answer; it may take effect, also later.
};

inline constexpr std::size_t lane_event_kind_count = 7;

} // namespace ej::actions
