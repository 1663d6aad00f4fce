#pragma once

#include <concurrency/snapshot.h>
#include <core/endpoint.h>

#include <map>
#include <optional>
#include <vector>

namespace ej::runtime {

/// The endpoints in use, by name. Thread-safe.
class endpoint_directory {
public:
    using map = std::map<core::endpoint_id, core::endpoint>;

    /// Replaces all endpoints and returns those that were there before.
    map replace(map next);

    /// The endpoint called `name`, if it is in use.
    [[nodiscard]] std::optional<core::endpoint> find(const core::endpoint_id& name) const;

    /// All endpoints in use.
    [[nodiscard]] std::shared_ptr<const map> all() const { return endpoints_.load(); }

private:
    concurrency::snapshot<map> endpoints_{map{}};
};

} // namespace ej::runtime
