#include "endpoint_directory.h"

#include <utility>

namespace ej::runtime {

endpoint_directory::map endpoint_directory::replace(map next)
{
    auto before = *endpoints_.load();
    endpoints_.store(std::move(next));
    return before;
}

std::optional<core::endpoint> endpoint_directory::find(const core::endpoint_id& name) const
{
    const auto current = endpoints_.load();
    const auto found = current->find(name);
    if (found == current->end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace ej::runtime
