#include <suspects/merge.h>

#include <algorithm>
#include <iterator>

namespace ej::suspects {

death_record merge(const death_record& left, const death_record& right)
{
    death_record merged{left.death, {}, {}};
    std::ranges::set_union(left.running, right.running, std::back_inserter(merged.running));
    std::ranges::set_union(left.flowing, right.flowing, std::back_inserter(merged.flowing));
    return merged;
}

} // namespace ej::suspects
