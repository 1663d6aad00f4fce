#pragma once

#include <routing/candidates.h>
#include <routing/random_stream.h>
#include <routing/request_features.h>

#include <core/endpoint_id.h>
#include <core/instant.h>

#include <optional>

namespace ej::routing {

/// Chooses an endpoint for a request. Stateless and thread-safe.
class router {
public:
    virtual ~router() = default;

    /// An endpoint with free capacity; empty if `from.open` is empty.
    [[nodiscard]] virtual std::optional<core::endpoint_id> choose(const candidates& from,
                                                                  const request_features& request,
                                                                  random_stream random,
                                                                  core::instant now) const = 0;
};

} // namespace ej::routing
