#pragma once

#include "stream_result.h"

#include <iosfwd>
#include <vector>

namespace ej::demo {

/// Prints a header and one line per generation.
void print_table(std::ostream& out, const std::vector<stream_result>& results);

} // namespace ej::demo
