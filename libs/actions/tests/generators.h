#pragma once

#include "fleet_model.h"
#include "step.h"

#include <rapidcheck.h>

#include <functional>
#include <string>

namespace ej::actions::model {

/// Histories of up to some hundred steps; most steps deliver, so that actions get far.
[[nodiscard]] rc::Gen<history> any_history();

/// Checks `property` with `histories` generated histories and the seed in force.
[[nodiscard]] rc::detail::TestResult
check_histories(const std::function<void(const history&)>& property, int histories);

/// The history that failed, or that all passed.
[[nodiscard]] std::string described(const rc::detail::TestResult& result);

} // namespace ej::actions::model
