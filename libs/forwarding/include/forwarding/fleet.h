#pragma once

#include <forwarding/endpoint_record.h>

#include <core/endpoint_id.h>
#include <core/service_id.h>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace ej::forwarding {

/// The endpoints that may get requests, by service, in order of their names. Immutable.
class fleet {
public:
    fleet() = default;
    /// Of several records with one address only that of the latest start counts: the entries of
    /// crashed endpoints stay for a while, and addresses are used again.
    explicit fleet(std::vector<endpoint_record> records);

    /// The endpoints of `service` that are not leaving; empty for an unknown service.
    [[nodiscard]] const std::vector<core::endpoint>& of(const core::service_id& service) const;

    /// Number of endpoints that may get requests.
    [[nodiscard]] std::size_t size() const;

    /// True if `endpoint` is still listed with the same incarnation and is not leaving.
    [[nodiscard]] bool lists(const core::endpoint& endpoint) const;

private:
    std::unordered_map<core::service_id, std::vector<core::endpoint>> by_service_;
};

} // namespace ej::forwarding
