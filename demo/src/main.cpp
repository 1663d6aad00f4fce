#include "interrupt_guard.h"
#include "scenario.h"

#include <exception>
#include <iostream>

int main()
{
    const ej::demo::interrupt_guard guard;
    try {
        ej::demo::demo_fleet fleet;
        std::cout << "3 failure domains, 6 daemons, 6 engines, 3 applications, 1 platform\n";
        const bool complete = ej::demo::run_streams(fleet, std::cout);
        const bool once = ej::demo::run_confirmation(fleet, std::cout);
        const bool changed = ej::demo::run_target_change(fleet, std::cout);
        return complete && once && changed ? 0 : 1;
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
