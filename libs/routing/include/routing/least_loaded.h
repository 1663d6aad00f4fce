#pragma once

#include <routing/router.h>

namespace ej::routing {

/// Chooses the endpoint with the fewest requests per slot; scans all endpoints with free capacity.
class least_loaded final : public router {
public:
    [[nodiscard]] std::optional<core::endpoint_id> choose(const candidates& from,
                                                          const request_features& request,
                                                          random_stream random,
                                                          core::instant now) const override;
};

} // namespace ej::routing
