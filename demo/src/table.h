#pragma once

#include "stream_result.h"

#include <iosfwd>
#include <vector>

namespace ej::demo {

/// Prints a line for each generation.
void print_table(std::ostream& out, const std::vector<stream_result>& results);

} // namespace ej::demo
