#pragma once

#include <actions/action_result.h>
#include <actions/outcome_kind.h>
#include <actions/unknown_reason.h>

#include <core/refusal_reason.h>

#include <compare>
#include <optional>

namespace ej::actions {

/// The answer to one submission.
struct action_outcome {
    outcome_kind kind = outcome_kind::unknown;
    std::optional<action_result> result;         ///< For `ran`, while the result is retained.
    std::optional<core::refusal_reason> refusal; ///< For `not_run`.
    std::optional<unknown_reason> unknown_cause; ///< For `unknown`.

    friend auto operator<=>(const action_outcome&, const action_outcome&) = default;
};

/// The action ran. `result` is empty when it is no longer retained.
[[nodiscard]] action_outcome ran(std::optional<action_result> result);

/// The action did not run and never will.
[[nodiscard]] action_outcome not_run(core::refusal_reason reason);

/// The action may have run.
[[nodiscard]] action_outcome unknown(unknown_reason reason);

} // namespace ej::actions
