#include "rollout_replay.h"

#include <rollout/next_record.h>
#include <rollout/rollout_limits.h>
#include <rollout/trial_plan.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

namespace ej::measure {

namespace {

using rollout::rollout_phase;
using std::chrono::milliseconds;

constexpr milliseconds report_interval{500};
constexpr milliseconds look_interval{250};
constexpr milliseconds record_delay{400}; // From a decision until all daemons apply it.
constexpr milliseconds verdict_delay{50};
constexpr milliseconds usual_latency{1'800};
constexpr double spread = 0.4; // Of the logarithm of the latency.
constexpr std::chrono::seconds wave_interval{5};
constexpr milliseconds wave_time{1'200};
constexpr double light_load = 0.8; // Below it, a version that is bad under load is good.
constexpr std::uint64_t fiftieth = 50;
constexpr rollout::rollout_limits limits{};

core::duration scaled(core::duration time, double by)
{
    return core::duration(static_cast<core::duration::rep>(double(time.count()) * by));
}

} // namespace

rollout_replay::rollout_replay(const rollout_load& load, const version_fault& fault,
                               const rollout_way& way, std::uint64_t seed)
    : load_(load), fault_(fault), way_(way), random_(seed), now_(std::chrono::hours(1)),
      began_(now_)
{
    order_ = {core::service_id("llm"), core::version_id("v2"), load.time, core::revision(7)};
    state_.order = order_;
    state_.order_revision = order_.revision;
    state_.began = now_;
    for (std::size_t number = 0; number < load.daemons; ++number) {
        const core::vm_id vm("vm-" + std::to_string(number));
        members_.push_back(vm);
        daemons_.push_back({{vm, 1, 0, order_.service, order_.revision, 0, 0, {}}});
    }
}

double rollout_replay::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void rollout_replay::schedule(core::duration after, std::function<void()> happen)
{
    events_.push({now_ + after, std::move(happen)});
}

rollout_figures rollout_replay::run()
{
    schedule({}, [this] { arrive(); });
    schedule({}, [this] { report(); });
    schedule({}, [this] { decide(); });
    const auto last = began_ + load_.time + std::chrono::seconds(5);
    while (!events_.empty() && events_.top().at <= last) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.happen();
    }
    if (!rollout::is_final(figures_.phase)) {
        figures_.ended = last - began_;
    }
    return figures_;
}

void rollout_replay::arrive()
{
    const double pause = -std::log(1 - draw()) / load_.requests_per_second;
    schedule(scaled(std::chrono::seconds(1), pause), [this] { arrive(); });
    const auto draw_of_request = static_cast<rollout::share>(draw() * rollout::whole_share);
    const auto rule = state_.rule_for(draw_of_request, now_);
    auto& by = daemons_[random_() % daemons_.size()];
    const bool in_time = now_ - began_ <= load_.time;
    figures_.requests += in_time ? 1 : 0;
    figures_.exposed += in_time && rule.prefers_target ? 1 : 0;
    if (rule.prefers_target) {
        figures_.last_send = now_ - began_;
    }
    send(by, rule.prefers_target, draw() < 0.5 ? "first" : "second");
}

bool rollout_replay::in_wave() const
{
    return (now_ - began_) % wave_interval < wave_time;
}

bool rollout_replay::is_bad_now(bool one_of_routes) const
{
    if (now_ - began_ < scaled(load_.time, fault_.from) || (fault_.one_route && !one_of_routes)) {
        return false;
    }
    const auto to_target = state_.to_target(now_);
    const bool narrowed = state_.record && state_.record->phase == rollout_phase::trial;
    const double used =
        narrowed ? std::ceil(double(load_.endpoints * to_target) / double(rollout::whole_share))
                 : double(load_.endpoints);
    const double load =
        double(to_target) / double(rollout::whole_share) * double(load_.endpoints) / used;
    return !fault_.loaded || load >= light_load;
}

void rollout_replay::send(daemon& by, bool to_target, const std::string& route)
{
    std::normal_distribution<double> logarithm(0, spread);
    auto took = scaled(usual_latency, std::exp(logarithm(random_)));
    double failing = load_.usual_failures + (in_wave() ? load_.crash_wave : 0);
    if (to_target && is_bad_now(route == "first")) {
        failing += fault_.failing;
        took = draw() < fault_.slow ? scaled(took, fault_.slowness) : took;
    }
    const bool failed = draw() < failing;
    by.seen.runs_elsewhere += to_target ? 0 : 1;
    const auto number = random_();
    by.waiting.push_back({number, now_, to_target, route});
    schedule(took, [this, &by, to_target, route, took, failed, number] {
        std::erase_if(by.waiting, [&](const awaited& one) { return one.number == number; });
        end_first_output(by, to_target, route, took, failed);
    });
}

void rollout_replay::end_first_output(daemon& by, bool at_target, const std::string& route,
                                      core::duration took, bool failed)
{
    auto& of_route = by.seen.answers[route];
    auto& counts = at_target ? of_route.target : of_route.others;
    const bool bad = failed || took > 3 * core::duration(usual_latency);
    if (at_target && bad && ++figures_.bad == fiftieth) {
        figures_.fiftieth = now_ - began_;
    }
    if (failed) {
        ++counts.failed;
    }
    else {
        ++counts.first_output.count.at(rollout::latency_counts::bucket_of(took));
    }
    if (!at_target) {
        schedule(failed ? core::duration() : load_.run, [&by] { --by.seen.runs_elsewhere; });
    }
}

void rollout_replay::report()
{
    for (daemon& one : daemons_) {
        state_.trial_share = rollout::plan_for(load_.time, limits, load_.requests_per_second).first;
        one.seen.to_target = state_.to_target(now_);
        ++one.seen.number;
        auto report = one.seen;
        for (const awaited& request : one.waiting) {
            auto& of_route = report.answers[request.route];
            auto& counts = request.at_target ? of_route.target : of_route.others;
            ++counts.awaited.count.at(rollout::latency_counts::bucket_of(now_ - request.sent));
        }
        evidence_.apply(report, order_.revision, now_);
    }
    schedule(report_interval, [this] { report(); });
}

rollout::rollout_view rollout_replay::view() const
{
    rollout::rollout_view made;
    made.since_order = now_ - began_;
    made.requests_per_second = load_.requests_per_second;
    made.room = {load_.endpoints, load_.endpoints};
    made.members = members_.size();
    made.heard = evidence_.heard_of(members_, now_);
    for (const auto& [route, answers] : evidence_.total(now_)) {
        made.target_answers += answers.target.answers();
    }
    made.suspicion = judge_.suspicion();
    made.handed_over = evidence_.handed_over(rollout::whole_share, now_);
    made.may_resume = true;
    return made;
}

void rollout_replay::decide()
{
    schedule(look_interval, [this] { decide(); });
    const auto answers = evidence_.total(now_);
    if (way_.sequential) {
        judge_.apply(answers);
    }
    const bool bad = way_.sequential ? judge_.rejects() : way_.is_bad(answers);
    if (bad && !state_.is_rejected()) {
        schedule(verdict_delay, [this] { state_.rejected_order = order_.revision; });
    }
    if (on_the_way_) {
        return;
    }
    const auto since = now_ - began_;
    const auto next = bad && !rollout::is_final(figures_.phase)
                          ? rollout::final_record(order_, rollout_phase::rolled_back, since, "bad")
                          : rollout::next_record(order_, state_.record, view(), limits);
    if (next) {
        put(*next);
    }
}

void rollout_replay::put(const rollout::rollout_record& record)
{
    on_the_way_ = record;
    schedule(record_delay, [this] {
        state_.record = std::exchange(on_the_way_, std::nullopt);
        figures_.phase = state_.record->phase;
        if (rollout::is_final(figures_.phase)) {
            figures_.ended = now_ - began_;
        }
    });
}

} // namespace ej::measure
