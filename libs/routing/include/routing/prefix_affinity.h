#pragma once

#include <routing/router.h>

#include <memory>

namespace ej::routing {

/// Sends equal prefixes to the same endpoint, whose cache may hold them, unless another router's
/// choice would finish much earlier.
class prefix_affinity final : public router {
public:
    explicit prefix_affinity(std::unique_ptr<const router> fallback);

    [[nodiscard]] std::optional<core::endpoint_id> choose(const candidates& from,
                                                          const request_features& request,
                                                          random_stream random,
                                                          core::instant now) const override;

private:
    std::unique_ptr<const router> fallback_;
};

} // namespace ej::routing
