#include "generation_table.h"

#include <algorithm>
#include <utility>

namespace ej::stand_ins {

bool generation_table::start(const std::shared_ptr<generation>& next)
{
    const generation_order& order = next->order();
    std::shared_ptr<generation> superseded;
    const bool started = requests_.with(order.request, [&](auto& requests) {
        request_attempts& known = requests[order.request];
        const std::uint64_t latest = known.current ? known.current->order().attempt : 0;
        if (order.attempt <= std::max(latest, known.cancelled_up_to)) {
            return false;
        }
        superseded = std::exchange(known.current, next);
        return true;
    });
    if (superseded) {
        superseded->finish("cancelled");
    }
    return started;
}

std::shared_ptr<generation> generation_table::find(const std::string& request,
                                                   std::uint64_t attempt)
{
    const auto current = requests_.with(request, [&](auto& requests) {
        const auto known = requests.find(request);
        return known == requests.end() ? nullptr : known->second.current;
    });
    return current && current->order().attempt == attempt ? current : nullptr;
}

void generation_table::cancel(const std::string& request, std::uint64_t attempt)
{
    const auto current = requests_.with(request, [&](auto& requests) {
        request_attempts& known = requests[request];
        known.cancelled_up_to = std::max(known.cancelled_up_to, attempt);
        return known.current;
    });
    if (current && current->order().attempt <= attempt) {
        current->finish("cancelled");
    }
}

void generation_table::forget(const std::shared_ptr<generation>& ended)
{
    requests_.with(ended->order().request, [&](auto& requests) {
        const auto known = requests.find(ended->order().request);
        if (known != requests.end() && known->second.current == ended) {
            requests.erase(known);
        }
    });
}

} // namespace ej::stand_ins
