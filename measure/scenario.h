#pragma once

#include <functional>
#include <string>
#include <vector>

namespace ej::measure {

class simulation;

/// One case: the offered load and the disturbances over time.
struct scenario {
    std::string name;
    double load = 0.8;                ///< Offered work over capacity.
    double long_work_fraction = 0.95; ///< Fraction of the work that is long generations; 0 to 1.
    std::function<void(simulation&)> script; ///< Schedules the disturbances; may be empty.
};

/// All cases.
[[nodiscard]] std::vector<scenario> all_scenarios();

} // namespace ej::measure
