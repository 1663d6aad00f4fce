#pragma once

#include "fleet_model.h"
#include "step.h"

#include <rapidcheck.h>

#include <functional>
#include <string>

namespace ej::actions::model {

/// Generates histories of up to some hundred steps. Deliveries are most frequent, so that actions
/// reach late phases.
[[nodiscard]] rc::Gen<history> any_history();

/// Checks `property` with `histories` generated histories and the configured seed.
[[nodiscard]] rc::detail::TestResult
check_histories(const std::function<void(const history&)>& property, int histories);

/// Describes the failed history, or states that all passed.
[[nodiscard]] std::string described(const rc::detail::TestResult& result);

} // namespace ej::actions::model
