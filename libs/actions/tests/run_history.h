#pragma once

#include "fleet_model.h"

#include <memory>
#include <string>

namespace ej::actions::model {

/// Runs `steps` on a fleet of `Daemon`s.
template <class Daemon>
std::unique_ptr<fleet_model> played(const history& steps)
{
    auto fleet = std::make_unique<fleet_model>(
        [](fleet_model& all, int at) { return std::make_unique<Daemon>(all, at); });
    fleet->run(steps);
    return fleet;
}

/// Describes the guarantee that `steps` violate; empty if there is none.
template <class Daemon>
std::string violation_by(const history& steps)
{
    return played<Daemon>(steps)->violated_guarantee();
}

} // namespace ej::actions::model
