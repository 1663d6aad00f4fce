#include <routing/round_robin.h>

namespace ej::routing {

std::optional<core::endpoint_id> round_robin::choose(const candidates& from,
                                                     const request_features&, random_stream,
                                                     core::instant) const
{
    if (from.open.empty()) {
        return std::nullopt;
    }
    return from.with_room(from.turn % from.open.size()).name;
}

} // namespace ej::routing
