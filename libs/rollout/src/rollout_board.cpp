#include <rollout/rollout_board.h>

#include <rollout/rollout_report.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace ej::rollout {

namespace {

/// Counts one answer.
void add_first_output(answer_counts& to, core::duration took)
{
    ++to.first_output.count.at(latency_counts::bucket_of(took));
}

void add_whole(answer_counts& to, core::duration took)
{
    ++to.whole.count.at(latency_counts::bucket_of(took));
}

void add_failure(answer_counts& to, core::duration /*took*/)
{
    ++to.failed;
}

// By measure, in the order of `answer_measure`.
constexpr std::array<void (*)(answer_counts&, core::duration), 3> counters{
    &add_first_output, &add_whole, &add_failure};

/// The entry of `route`, or that of all further routes once there are too many for a report.
route_answers& entry_of(answers_by_route& answers, const std::string& route)
{
    const bool full = answers.size() >= rollout_report::max_routes - 1;
    return answers[full && !answers.contains(route) ? std::string() : route];
}

} // namespace

rollout_board::state_ptr rollout_board::of(const core::service_id& service) const
{
    if (!any_) {
        return nullptr;
    }
    const auto known = states_.load();
    const auto found = known->find(service);
    return found == known->end() ? nullptr : found->second;
}

std::vector<core::service_id> rollout_board::open() const
{
    std::vector<core::service_id> found;
    if (any_) {
        const auto known = states_.load();
        for (const auto& [service, state] : *known) {
            if (state->is_open()) {
                found.push_back(service);
            }
        }
    }
    return found;
}

bool rollout_board::change_state(const core::service_id& service, const change& by)
{
    bool changed = false;
    states_.update([&](states known) {
        const auto found = known.find(service);
        rollout_state next = found == known.end() ? rollout_state() : *found->second;
        changed = by(next);
        if (changed) {
            known[service] = std::make_shared<const rollout_state>(std::move(next));
        }
        return known;
    });
    any_ = !states_.load()->empty();
    return changed;
}

bool rollout_board::put_order(const rollout_order& order, core::instant now)
{
    return change_state(order.service, [&](rollout_state& state) {
        if (order.revision <= state.order_revision) {
            return false;
        }
        state.order = order;
        state.order_revision = order.revision;
        state.began = state.is_answered() ? std::min(now - state.record->written, now) : now;
        return true;
    });
}

void rollout_board::remove_order(const core::service_id& service, core::revision revision)
{
    change_state(service, [&](rollout_state& state) {
        if (revision <= state.order_revision) {
            return false;
        }
        state.order.reset();
        state.order_revision = revision;
        return true;
    });
}

bool rollout_board::put_record(const core::service_id& service, const rollout_record& record,
                               core::revision revision, core::instant now)
{
    return change_state(service, [&](rollout_state& state) {
        if (revision <= state.record_revision) {
            return false;
        }
        state.record = record;
        state.record_revision = revision;
        if (state.is_answered()) {
            state.began = std::min(state.began, now - record.written);
        }
        return true;
    });
}

void rollout_board::remove_record(const core::service_id& service, core::revision revision)
{
    change_state(service, [&](rollout_state& state) {
        if (revision <= state.record_revision) {
            return false;
        }
        state.record.reset();
        state.record_revision = core::revision();
        return true;
    });
}

void rollout_board::retain(const std::set<core::service_id>& ordered,
                           const std::set<core::service_id>& recorded, core::revision revision)
{
    const auto known = states_.load();
    for (const auto& [service, state] : *known) {
        if (state->order && !ordered.contains(service)) {
            remove_order(service, revision);
        }
        if (state->record && !recorded.contains(service)) {
            remove_record(service, revision);
        }
    }
}

void rollout_board::set_trial_share(const core::service_id& service, share to_target)
{
    const auto known = of(service);
    if (known != nullptr && known->trial_share != to_target) {
        change_state(service, [&](rollout_state& state) {
            state.trial_share = to_target;
            return true;
        });
    }
}

bool rollout_board::reject_target(const core::service_id& service, core::revision order)
{
    return change_state(service, [&](rollout_state& state) {
        if (state.rejected_order >= order) {
            return false;
        }
        state.rejected_order = order;
        return true;
    });
}

void rollout_board::record(const measured_answer& seen)
{
    const auto state = of(seen.service);
    if (state == nullptr || !state->is_open()) {
        return;
    }
    const auto order = state->order->revision;
    const bool by_target = seen.version == state->order->target;
    answers_.with(seen.service, [&](auto& entries) {
        own_answers& own = entries[seen.service];
        if (std::exchange(own.order, order) != order) {
            own.by_route.clear();
        }
        route_answers& of_route = entry_of(own.by_route, seen.route);
        counters.at(static_cast<std::size_t>(seen.measure))(
            by_target ? of_route.target : of_route.others, seen.took);
    });
}

pending_sample rollout_board::await(const core::service_id& service,
                                    const core::version_id& version, std::string route,
                                    core::instant now)
{
    const auto state = of(service);
    if (state == nullptr || !state->is_open()) {
        return {};
    }
    const auto number = ++awaits_;
    const awaited_answer one{std::move(route), version, now};
    answers_.with(service, [&](auto& entries) { entries[service].awaited.emplace(number, one); });
    return {*this, service, number};
}

void rollout_board::forget(const core::service_id& service, std::uint64_t number)
{
    answers_.with(service, [&](auto& entries) { entries[service].awaited.erase(number); });
}

answers_by_route rollout_board::answers_of(const core::service_id& service, core::instant now)
{
    const auto state = of(service);
    if (state == nullptr || !state->order) {
        return {};
    }
    return answers_.with(service, [&](auto& entries) {
        const own_answers& own = entries[service];
        const bool current = own.order == state->order->revision;
        auto answers = current ? own.by_route : answers_by_route();
        for (const auto& [number, one] : own.awaited) {
            route_answers& of_route = entry_of(answers, one.route);
            const bool by_target = one.version == state->order->target;
            auto& counts = by_target ? of_route.target : of_route.others;
            ++counts.awaited.count.at(latency_counts::bucket_of(now - one.sent));
        }
        return answers;
    });
}

} // namespace ej::rollout
