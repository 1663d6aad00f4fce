#include <rollout/evidence_table.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace ej::rollout {

namespace {

void add(answers_by_route& sum, const answers_by_route& more)
{
    for (const auto& [route, answers] : more) {
        sum[route] += answers;
    }
}

/// `answers` without the requests that are awaited.
answers_by_route without_awaited(answers_by_route answers)
{
    for (auto& [route, one] : answers) {
        one.target.awaited = one.others.awaited = {};
    }
    return answers;
}

} // namespace

void evidence_table::apply(const rollout_report& report, core::revision order, core::instant now)
{
    if (std::exchange(order_, order) != order) {
        entries_.clear();
    }
    if (report.order != order) {
        return;
    }
    collecting_since_ = entries_.empty() ? now : collecting_since_;
    const auto [found, added] = entries_.try_emplace(report.from, entry{report, now, {}, {}});
    entry& known = found->second;
    if (added || known.ended_runs.contains(report.start)) {
        return;
    }
    if (report.start != known.latest.start) {
        // Not ordered by time: a clock may be set back between two runs.
        known.ended_runs.insert(known.latest.start);
        add(known.earlier, without_awaited(known.latest.answers));
    }
    else if (report.number <= known.latest.number) {
        return;
    }
    known.latest = report;
    known.heard = now;
}

answers_by_route evidence_table::total(core::instant now) const
{
    answers_by_route sum;
    for (const auto& [from, known] : entries_) {
        add(sum, known.earlier);
        // A daemon that has ended awaits nothing any more.
        add(sum,
            is_recent(known, now) ? known.latest.answers : without_awaited(known.latest.answers));
    }
    return sum;
}

bool evidence_table::is_recent(const entry& one, core::instant now)
{
    return now - one.heard <= report_lifetime;
}

std::size_t evidence_table::heard_of(const std::vector<core::vm_id>& members,
                                     core::instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const core::vm_id& one) {
        const auto found = entries_.find(one);
        return found != entries_.end() && is_recent(found->second, now);
    }));
}

bool evidence_table::handed_over(share to_target, core::instant now) const
{
    // Before that, a daemon that has not been heard of may only not have had its turn.
    const bool collected = !entries_.empty() && now - collecting_since_ >= report_lifetime;
    return collected && std::ranges::all_of(entries_, [&](const auto& one) {
               return !is_recent(one.second, now) || (one.second.latest.to_target >= to_target &&
                                                      one.second.latest.runs_elsewhere == 0);
           });
}

std::uint64_t evidence_table::runs_elsewhere(core::instant now) const
{
    return std::transform_reduce(
        entries_.begin(), entries_.end(), std::uint64_t{0}, std::plus<>(), [&](const auto& one) {
            return is_recent(one.second, now) ? one.second.latest.runs_elsewhere : std::uint64_t{0};
        });
}

} // namespace ej::rollout
