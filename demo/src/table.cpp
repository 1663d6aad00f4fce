#include "table.h"

#include <iomanip>
#include <ostream>

namespace ej::demo {

namespace {

constexpr int name_width = 18;
constexpr int width = 14;

} // namespace

void print_table(std::ostream& out, const std::vector<stream_result>& results)
{
    out << std::left << std::setw(name_width) << "generation" << std::setw(width) << "whole"
        << std::setw(width) << "tokens" << std::setw(width) << "first [ms]" << std::setw(width)
        << "longest gap [ms]" << '\n';
    for (const auto& result : results) {
        out << std::setw(name_width) << result.name << std::setw(width)
            << (result.complete ? "yes" : "NO") << std::setw(width) << result.tokens
            << std::setw(width) << result.first_token.count() << std::setw(width)
            << result.longest_gap.count() << (result.complete ? "" : result.error) << '\n';
    }
}

} // namespace ej::demo
