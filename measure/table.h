#pragma once

#include "simulation.h"

#include <ostream>
#include <string>

namespace ej::measure {

/// Prints the table's head.
void print_head(std::ostream& out);

/// Prints a row per class of one run.
void print_rows(std::ostream& out, const std::string& scenario, const std::string& strategy,
                const simulation& run);

} // namespace ej::measure
