#pragma once

#include <functional>
#include <string>
#include <vector>

namespace ej::measure {

class simulation;

/// One case: offered load over time, and what happens.
struct scenario {
    std::string name;
    double load = 0.8;       ///< Offered work over capacity.
    double long_part = 0.95; ///< Part of the work that long generations make up; 0 to 1.
    std::function<void(simulation&)> script; ///< Plans what happens; may be empty.
};

/// All cases.
[[nodiscard]] std::vector<scenario> all_scenarios();

} // namespace ej::measure
