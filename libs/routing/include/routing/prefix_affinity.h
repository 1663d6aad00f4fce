#pragma once

#include <routing/router.h>

#include <memory>

namespace ej::routing {

/// Sends equal prefixes to the same endpoint, whose cache may hold them. Uses the fallback router
/// if that endpoint has no free capacity or would finish much later than a typical one.
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
