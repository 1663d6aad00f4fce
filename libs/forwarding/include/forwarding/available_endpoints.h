#pragma once

#include <forwarding/endpoint_record.h>
#include <forwarding/endpoint_run.h>

#include <core/endpoint_id.h>
#include <core/service_id.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

namespace ej::forwarding {

/// The endpoints that may receive requests, grouped by service and sorted by name. Immutable.
class available_endpoints {
public:
    available_endpoints() = default;
    /// If several records have the same address, only the one with the latest start is used:
    /// entries of crashed endpoints remain for a while, and addresses are reused.
    explicit available_endpoints(std::vector<endpoint_record> records);

    /// The endpoints of `service` that are not leaving; empty for an unknown service.
    [[nodiscard]] const std::vector<core::endpoint>& of(const core::service_id& service) const;

    /// Number of endpoints that may receive requests.
    [[nodiscard]] std::size_t size() const;

    /// True if `endpoint` is still listed with the same incarnation and is not leaving.
    [[nodiscard]] bool lists(const core::endpoint& endpoint) const;

    /// Calls `action` with each endpoint that may receive requests.
    template <std::invocable<const core::endpoint&> Action>
    void for_each(Action action) const
    {
        for (const auto& [service, endpoints] : by_service_) {
            std::ranges::for_each(*endpoints, action);
        }
    }

    /// A copy without `run`. Lists of services that do not have it are shared.
    [[nodiscard]] available_endpoints without(const endpoint_run& run) const;

private:
    using shared_list = std::shared_ptr<const std::vector<core::endpoint>>;

    std::unordered_map<core::service_id, shared_list> by_service_;
};

} // namespace ej::forwarding
