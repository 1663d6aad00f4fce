#include <fairness/fair_queue.h>

#include <algorithm>

namespace ej::fairness {

namespace {

constexpr double lateness_weight = 0.2;
constexpr std::size_t idle_flows_kept = 4'096;

} // namespace

fair_queue::fair_queue(std::shared_ptr<const share_policy> policy) : policy_(std::move(policy)) {}

void fair_queue::push(const queued_request& added)
{
    flow& owner = flows_[added.workspace];
    if (owner.waiting.empty()) {
        // Idle time earns no credit over the workspaces that used the capacity meanwhile.
        owner.usage.start_tag = std::max(owner.usage.start_tag, virtual_time_);
    }
    insert(owner, added, ++last_sequence_);
    if (flows_.size() > 2 * (order_.size() + idle_flows_kept)) {
        erase_idle_flows();
    }
}

std::optional<queued_request> fair_queue::pop()
{
    if (order_.empty()) {
        return std::nullopt;
    }
    const core::workspace_id workspace = order_.begin()->second;
    flow& owner = flows_.at(workspace);
    virtual_time_ = std::max(virtual_time_, owner.usage.start_tag);
    queued_request taken = extract({workspace, owner.waiting.begin()->first});
    remove_from_order(workspace, owner);
    owner.usage.start_tag += taken.work;
    insert_into_order(workspace, owner);
    return taken;
}

void fair_queue::put_back(const queued_request& taken)
{
    flow& owner = flows_[taken.workspace];
    remove_from_order(taken.workspace, owner);
    owner.usage.start_tag -= taken.work;
    insert_into_order(taken.workspace, owner);
    insert(owner, taken, --first_sequence_);
}

std::optional<queued_request> fair_queue::cancel(const core::request_id& request)
{
    const auto found = positions_.find(request);
    if (found == positions_.end()) {
        return std::nullopt;
    }
    const position at = found->second;
    return extract(at);
}

std::optional<queued_request> fair_queue::take_newest_of_longest()
{
    if (lengths_.empty()) {
        return std::nullopt;
    }
    const core::workspace_id workspace = lengths_.rbegin()->second;
    return extract({workspace, flows_.at(workspace).waiting.rbegin()->first});
}

void fair_queue::note_lateness(const core::workspace_id& workspace, double lateness)
{
    flow& owner = flows_[workspace];
    remove_from_order(workspace, owner);
    owner.usage.lateness += lateness_weight * (lateness - owner.usage.lateness);
    insert_into_order(workspace, owner);
}

const queued_request* fair_queue::next() const
{
    if (order_.empty()) {
        return nullptr;
    }
    return &flows_.at(order_.begin()->second).waiting.begin()->second;
}

backlog fair_queue::waiting_of(const core::workspace_id& workspace) const
{
    const auto found = flows_.find(workspace);
    if (found == flows_.end()) {
        return {};
    }
    return {found->second.waiting.size(), found->second.work};
}

double fair_queue::distance_of(const core::workspace_id& workspace) const
{
    const auto found = flows_.find(workspace);
    if (found == flows_.end()) {
        return 0;
    }
    const flow& owner = found->second;
    return std::max(owner.usage.start_tag - virtual_time_, 0.0) + owner.work;
}

std::optional<core::instant> fair_queue::oldest() const
{
    if (arrivals_.empty()) {
        return std::nullopt;
    }
    return arrivals_.begin()->first;
}

void fair_queue::insert(flow& owner, const queued_request& added, std::int64_t sequence)
{
    remove_from_order(added.workspace, owner);
    owner.waiting.emplace(sequence, added);
    owner.work += added.work;
    insert_into_order(added.workspace, owner);
    positions_.emplace(added.request, position{added.workspace, sequence});
    arrivals_.emplace(added.arrived, sequence);
    work_ += added.work;
}

queued_request fair_queue::extract(const position& at)
{
    flow& owner = flows_.at(at.workspace);
    remove_from_order(at.workspace, owner);
    queued_request taken = owner.waiting.extract(at.sequence).mapped();
    owner.work = owner.waiting.empty() ? 0 : owner.work - taken.work;
    insert_into_order(at.workspace, owner);
    positions_.erase(taken.request);
    arrivals_.erase({taken.arrived, at.sequence});
    // Resetting to exactly zero when the queue is empty keeps rounding errors from accumulating.
    work_ = positions_.empty() ? 0 : work_ - taken.work;
    return taken;
}

void fair_queue::remove_from_order(const core::workspace_id& workspace, const flow& owner)
{
    if (!owner.waiting.empty()) {
        order_.erase({owner.rank, workspace});
        lengths_.erase({owner.waiting.size(), workspace});
    }
}

void fair_queue::insert_into_order(const core::workspace_id& workspace, flow& owner)
{
    if (!owner.waiting.empty()) {
        owner.rank = policy_->rank(owner.usage, owner.waiting.begin()->second);
        order_.emplace(owner.rank, workspace);
        lengths_.emplace(owner.waiting.size(), workspace);
    }
}

// Erases idle workspaces whose start tag is not after the virtual time: `push` would start them at
// the virtual time anyway.
void fair_queue::erase_idle_flows()
{
    std::erase_if(flows_, [&](const auto& entry) {
        return entry.second.waiting.empty() && entry.second.usage.start_tag <= virtual_time_;
    });
}

} // namespace ej::fairness
