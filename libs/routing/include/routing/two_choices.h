#pragma once

#include <routing/router.h>

namespace ej::routing {

/// Takes the better of two random endpoints by estimated finish; looks at up to two more pairs
/// while none meets the target.
class two_choices final : public router {
public:
    [[nodiscard]] std::optional<core::endpoint_id> choose(const candidates& from,
                                                          const request_features& request,
                                                          random_stream random,
                                                          core::instant now) const override;
};

} // namespace ej::routing
