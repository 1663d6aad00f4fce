#pragma once

#include <routing/router.h>

namespace ej::routing {

/// Takes the endpoint with the fewest requests per slot; looks at all of them.
class least_loaded final : public router {
public:
    [[nodiscard]] std::optional<core::endpoint_id> choose(const candidates& from,
                                                          const request_features& request,
                                                          random_stream random,
                                                          core::instant now) const override;
};

} // namespace ej::routing
