#pragma once

#include <routing/router.h>

namespace ej::routing {

/// Takes endpoints with room in turn.
class round_robin final : public router {
public:
    [[nodiscard]] std::optional<core::endpoint_id> choose(const candidates& from,
                                                          const request_features& request,
                                                          random_stream random,
                                                          core::instant now) const override;
};

} // namespace ej::routing
