#include "generation_table.h"

#include <algorithm>
#include <utility>

namespace ej::stand_ins {

bool generation_table::start(const std::shared_ptr<generation>& next)
{
    const generation_parameters& parameters = next->parameters();
    std::shared_ptr<generation> superseded;
    const bool started = requests_.with(parameters.request, [&](auto& requests) {
        request_attempts& entry = requests[parameters.request];
        const std::uint64_t latest = entry.current ? entry.current->parameters().attempt : 0;
        if (parameters.attempt <= std::max(latest, entry.cancelled_up_to)) {
            return false;
        }
        superseded = std::exchange(entry.current, next);
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
        const auto entry = requests.find(request);
        return entry == requests.end() ? nullptr : entry->second.current;
    });
    return current && current->parameters().attempt == attempt ? current : nullptr;
}

void generation_table::cancel(const std::string& request, std::uint64_t attempt)
{
    const auto current = requests_.with(request, [&](auto& requests) {
        request_attempts& entry = requests[request];
        entry.cancelled_up_to = std::max(entry.cancelled_up_to, attempt);
        return entry.current;
    });
    if (current && current->parameters().attempt <= attempt) {
        current->finish("cancelled");
    }
}

void generation_table::remove_if_current(const std::shared_ptr<generation>& ended)
{
    requests_.with(ended->parameters().request, [&](auto& requests) {
        const auto entry = requests.find(ended->parameters().request);
        if (entry != requests.end() && entry->second.current == ended) {
            requests.erase(entry);
        }
    });
}

} // namespace ej::stand_ins
