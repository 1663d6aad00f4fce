#pragma once

#include <rollout/rollout_limits.h>
#include <rollout/rollout_order.h>
#include <rollout/rollout_record.h>
#include <rollout/rollout_view.h>

#include <optional>

namespace ej::rollout {

/// The record that follows `known` (unset: the order has none yet); empty while nothing changes.
/// Steps towards the target need reports of more than half of the daemons.
[[nodiscard]] std::optional<rollout_record> next_record(const rollout_order& order,
                                                        const std::optional<rollout_record>& known,
                                                        const rollout_view& view,
                                                        const rollout_limits& limits);

/// The record of a roll-out that ends with `phase` for `reason`.
[[nodiscard]] rollout_record final_record(const rollout_order& order, rollout_phase phase,
                                          core::duration since_order, std::string reason);

} // namespace ej::rollout
