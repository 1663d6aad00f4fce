#pragma once

#include <overload/service_queue.h>
#include <overload/waiting_generation.h>
#include <overload/waiting_limits.h>

#include <fairness/share_policy.h>

#include <core/instant.h>
#include <core/request_id.h>
#include <core/service_id.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ej::overload {

/// The generations that wait for engines. Of each service, those that were begun go first, then
/// those that can meet their target, then the late ones; workspaces share the places within a
/// group. Not thread-safe: each lane has its own.
class waiting_room {
public:
    waiting_room(std::shared_ptr<const fairness::share_policy> order, waiting_limits limits);

    /// Adds a generation; its id must not be waiting. Returns those that have to leave for it,
    /// which may include itself.
    std::vector<core::request_id> add(const waiting_generation& added);

    /// Removes a generation; no effect if it does not wait.
    void remove(const core::request_id& id);

    /// The generation of `service` that gets the next free place; empty if none waits.
    [[nodiscard]] std::optional<core::request_id> next(const core::service_id& service,
                                                       core::instant now);

    /// Removes `id`, which got a place, and charges its workspace.
    void grant(const core::request_id& id);

    /// The generations whose target or deadline has passed and whose case is to be looked at again.
    [[nodiscard]] std::vector<core::request_id> due(core::instant now);

    [[nodiscard]] bool waits(const core::request_id& id) const { return waiting_.contains(id); }
    [[nodiscard]] std::size_t count(const core::service_id& service) const;
    [[nodiscard]] std::vector<core::service_id> services() const;
    [[nodiscard]] bool empty() const { return waiting_.empty(); }

private:
    void make_room(std::vector<core::request_id>& leaving);

    std::shared_ptr<const fairness::share_policy> order_;
    waiting_limits limits_;
    std::map<core::service_id, service_queue> queues_;
    std::unordered_map<core::request_id, waiting_generation> waiting_;
    std::size_t bytes_ = 0;
};

} // namespace ej::overload
