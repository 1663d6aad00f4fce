#pragma once

#include <routing/router.h>

namespace ej::routing {

/// Chooses the endpoints with free capacity in rotation.
class round_robin final : public router {
public:
    [[nodiscard]] std::optional<core::endpoint_id> choose(const candidates& from,
                                                          const request_features& request,
                                                          random_stream random,
                                                          core::instant now) const override;
};

} // namespace ej::routing
