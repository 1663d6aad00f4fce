#pragma once

#include <rollout/rollout_phase.h>
#include <rollout/share.h>

#include <core/revision.h>
#include <core/version_id.h>

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace ej::rollout {

/// State of a roll-out, as all daemons share it in the store.
struct rollout_record {
    core::revision order; ///< Revision of the order that it answers.
    core::version_id target;
    rollout_phase phase = rollout_phase::trial;
    share to_target = 0;                 ///< Share of the requests for the target.
    share later = 0;                     ///< The share from `until` on; at most `to_target`.
    std::chrono::milliseconds until{};   ///< Since the order.
    std::chrono::milliseconds written{}; ///< Since the order.
    std::string reason;                  ///< Of the last step; without line breaks.

    friend auto operator<=>(const rollout_record&, const rollout_record&) = default;
};

/// The record as text: one line for each field.
[[nodiscard]] std::string to_text(const rollout_record& record);

/// Parses the output of `to_text`; empty for any other text.
[[nodiscard]] std::optional<rollout_record> parse_record(std::string_view text);

} // namespace ej::rollout
