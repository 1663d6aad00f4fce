#pragma once

#include <routing/router.h>

namespace ej::routing {

/// Chooses the one of two random endpoints with the earlier estimated finish; samples up to two
/// more pairs while no endpoint meets the request's target.
class two_choices final : public router {
public:
    [[nodiscard]] std::optional<core::endpoint_id> choose(const candidates& from,
                                                          const request_features& request,
                                                          random_stream random,
                                                          core::instant now) const override;
};

} // namespace ej::routing
