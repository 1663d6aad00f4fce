#pragma once

#include "simulation.h"

#include <ostream>
#include <string>

namespace ej::measure {

/// Prints the table header.
void print_header(std::ostream& out);

/// Prints one row per class of a run.
void print_rows(std::ostream& out, const std::string& scenario, const std::string& strategy,
                const simulation& run);

} // namespace ej::measure
