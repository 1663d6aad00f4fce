#include <routing/least_loaded.h>

#include <routing/estimate.h>

#include <algorithm>

namespace ej::routing {

std::optional<core::endpoint_id> least_loaded::choose(const candidates& from,
                                                      const request_features&, random_stream,
                                                      core::instant) const
{
    if (from.open.empty()) {
        return std::nullopt;
    }
    const auto load = [&](std::uint32_t index) {
        const endpoint_view& view = from.all[index];
        return occupied_slots(view) / view.slots;
    };
    return from.all[*std::ranges::min_element(from.open, {}, load)].name;
}

} // namespace ej::routing
