#pragma once

#include <fairness/backlog.h>
#include <fairness/flow.h>
#include <fairness/position.h>
#include <fairness/queued_request.h>
#include <fairness/share_policy.h>

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace ej::fairness {

/// Queue that serves the waiting requests of several workspaces in the order of a share policy. A
/// workspace that waits alone gets the whole service. A workspace that was idle gets its share at
/// once but no credit for the idle time. Each call costs O(log n). Not thread-safe.
class fair_queue {
public:
    explicit fair_queue(std::shared_ptr<const share_policy> policy);

    /// Adds a request; its id must not be in the queue yet.
    void push(const queued_request& added);

    /// Removes the next request and charges its work to the workspace.
    std::optional<queued_request> pop();

    /// Reverts the `pop` that returned `taken`.
    void put_back(const queued_request& taken);

    /// Removes a request without charging its workspace; empty if it is not in the queue.
    std::optional<queued_request> cancel(const core::request_id& request);

    /// Removes the newest request of the workspace with the most waiting requests.
    std::optional<queued_request> take_newest_of_longest();

    /// Records that a request of `workspace` took `lateness` times its target.
    void note_lateness(const core::workspace_id& workspace, double lateness);

    /// The request that `pop` would return.
    [[nodiscard]] const queued_request* next() const;

    [[nodiscard]] backlog waiting() const { return {positions_.size(), work_}; }
    [[nodiscard]] backlog waiting_of(const core::workspace_id& workspace) const;

    /// Number of workspaces with waiting requests.
    [[nodiscard]] std::size_t workspaces() const { return order_.size(); }

    /// Work that a continuously waiting workspace has received since the start; increases while
    /// requests are served.
    [[nodiscard]] double virtual_time() const { return virtual_time_; }

    /// How far `virtual_time` must advance until one more request of `workspace` is served.
    [[nodiscard]] double distance_of(const core::workspace_id& workspace) const;

    /// Arrival time of the oldest waiting request.
    [[nodiscard]] std::optional<core::instant> oldest() const;

private:
    void insert(flow& owner, const queued_request& added, std::int64_t sequence);
    queued_request extract(const position& at);
    void remove_from_order(const core::workspace_id& workspace, const flow& owner);
    void insert_into_order(const core::workspace_id& workspace, flow& owner);
    void erase_idle_flows();

    std::shared_ptr<const share_policy> policy_;
    std::unordered_map<core::workspace_id, flow> flows_;
    std::unordered_map<core::request_id, position> positions_;
    std::set<std::pair<double, core::workspace_id>> order_;
    std::set<std::pair<std::size_t, core::workspace_id>> lengths_;
    std::set<std::pair<core::instant, std::int64_t>> arrivals_;
    double work_ = 0;
    double virtual_time_ = 0;
    std::int64_t last_sequence_ = 0;
    std::int64_t first_sequence_ = 0;
};

} // namespace ej::fairness
