#include "engine_slot.h"

#include <utility>

namespace ej::runtime {

void engine_slot::begin(const routing::endpoint_assignment& where, core::instant now)
{
    where_ = where;
    began_ = now;
}

void engine_slot::end(routing::outcome_kind how, double tokens, core::instant now)
{
    if (const auto where = std::exchange(where_, std::nullopt)) {
        gate_.release_endpoint(*where, {how, tokens, now - began_});
    }
}

} // namespace ej::runtime
