#include "scenario.h"
#include "simulation.h"
#include "table.h"

#include <iostream>

int main()
{
    constexpr std::uint64_t seed = 20261204;
    ej::measure::print_header(std::cout);
    for (const auto& scenario : ej::measure::all_scenarios()) {
        for (const auto& strategy : ej::measure::all_strategies()) {
            ej::measure::simulation run(strategy, scenario, seed);
            run.run();
            ej::measure::print_rows(std::cout, scenario.name, strategy.name, run);
        }
    }
}
