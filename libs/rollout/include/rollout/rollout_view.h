#pragma once

#include <rollout/version_room.h>

#include <core/instant.h>

#include <cstddef>
#include <cstdint>

namespace ej::rollout {

/// What a step of a roll-out is decided from, beside the order and its record.
struct rollout_view {
    core::duration since_order{};
    double requests_per_second = 0; ///< For the service, at all daemons.
    version_room room;
    std::size_t members = 0;          ///< Daemons that are registered.
    std::size_t heard = 0;            ///< Those of them that have reported lately.
    std::uint64_t target_answers = 0; ///< Answers of the target since the order.
    double suspicion = 0;             ///< `rollout_judge::suspicion`.
    bool handed_over = false;         ///< `evidence_table::handed_over` for the whole share.
    bool may_resume = false; ///< What runs at other versions goes on elsewhere in the same answer.
};

} // namespace ej::rollout
