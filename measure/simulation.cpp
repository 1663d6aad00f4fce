#include "simulation.h"

#include "settings.h"

#include <admission/urgency.h>
#include <limits/shares.h>

#include <cmath>
#include <numeric>

namespace ej::measure {

namespace {

using seconds = std::chrono::duration<double>;

const core::service_id service("model");
const routing::reachable_domains local{core::failure_domain_id("recife"), {}};
const routing::pool_key pool{service, local.local};

core::duration duration_of(double length)
{
    return std::chrono::duration_cast<core::duration>(seconds(length));
}

} // namespace

simulation::simulation(const strategy& strategy, const scenario& scenario, std::uint64_t seed)
    : strategy_(strategy), scenario_(scenario), arrivals_random_(seed), choices_random_(seed + 1),
      daemons_(daemon_count)
{
    for (int at = 0; at < engines; ++at) {
        const double speed =
            slowest_speed * std::pow(fastest_speed / slowest_speed, at / (engines - 1.0));
        core::endpoint described;
        described.name = core::endpoint_id("engine" + std::to_string(at));
        described.domain = local.local;
        described.service = service;
        described.slots = engine_slots;
        engines_.push_back({described, fake_endpoint(engine_slots, speed)});
        full_capacity_ += speed * engine_slots;
    }
    for (daemon& one : daemons_) {
        start(one);
    }
    set_shares();
}

void simulation::start(daemon& started)
{
    started.queues =
        std::make_unique<admission::class_queues>(strategy_.admission, strategy_.shares);
    started.queues->set_classes(classes());
    started.pools =
        std::make_unique<routing::endpoint_pools>(strategy_.router(), strategy_.limiter());
    started.budgets = std::make_unique<retry::class_budgets>(strategy_.budget());
    ++started.run;
}

void simulation::set_shares()
{
    std::vector<limits::member_size> members;
    for (std::size_t at = 0; at < daemons_.size(); ++at) {
        if (daemons_[at].alive) {
            members.push_back({core::vm_id(std::to_string(at)), daemon_size(at)});
        }
    }
    for (std::size_t at = 0; at < daemons_.size(); ++at) {
        daemon& one = daemons_[at];
        one.pools->set_share(limits::share_of(members, core::vm_id(std::to_string(at))));
        for (const engine& known : engines_) {
            if (known.model.alive() && !one.pools->view(pool, known.described.name)) {
                one.pools->add(known.described, events.now());
            }
        }
    }
}

void simulation::run()
{
    for (std::size_t at = 0; at < engines_.size(); ++at) {
        events.schedule_after(report_period * static_cast<int>(at) / static_cast<int>(engines),
                              [this, at] { report(at); });
    }
    plan_arrivals(long_class);
    plan_arrivals(short_class);
    if (scenario_.script) {
        scenario_.script(*this);
    }
    events.schedule_at(core::instant{} + window_start, [this] { accumulate_capacity(); });
    events.run_until(core::instant{} + window_start);
    capacity_seconds_ = 0;
    events.run_until(core::instant{} + window_end);
    accumulate_capacity();
    events.run_until(core::instant{} + window_end + drain_time);
}

void simulation::plan_arrivals(std::size_t class_index)
{
    const double part =
        class_index == long_class ? scenario_.long_work_fraction : 1 - scenario_.long_work_fraction;
    const double flood = class_index == long_class ? flood_factor : 0;
    const double base = scenario_.load * offered_factor * part;
    const double rate = (base + flood) * full_capacity_ / mean_work(class_index);
    if (rate <= 0) {
        events.schedule_after(report_period, [this, class_index] { plan_arrivals(class_index); });
        return;
    }
    std::exponential_distribution<double> gap(rate);
    events.schedule_after(duration_of(gap(arrivals_random_)), [this, class_index, base, flood] {
        const bool flooding = std::bernoulli_distribution(flood / (base + flood))(arrivals_random_);
        std::discrete_distribution<std::size_t> workspaces(workspace_fractions.begin(),
                                                           workspace_fractions.end());
        arrive(class_index, flooding ? flooding_workspace : workspaces(arrivals_random_));
        plan_arrivals(class_index);
    });
}

void simulation::arrive(std::size_t class_index, std::size_t workspace)
{
    const auto& target = classes()[class_index].target;
    std::lognormal_distribution<double> sizes(0, work_sigma);
    const double scale = std::exp(work_sigma * work_sigma / 2);
    const double work = std::max(1.0, mean_work(class_index) * sizes(arrivals_random_) / scale);
    const double expected = work * std::uniform_real_distribution<double>(1, 1.3)(arrivals_random_);
    const core::instant now = events.now();
    job made{{core::request_id(std::to_string(jobs_.size())),
              core::workspace_id(std::to_string(workspace)), expected, now, now + target.finish,
              now + target.first_token},
             class_index,
             work};
    jobs_.push_back(made);
    submit(jobs_.size() - 1);
}

void simulation::submit(std::size_t number)
{
    job& one = jobs_[number];
    one.daemon = pick_daemon();
    daemon& at = daemons_[one.daemon];
    one.daemon_run = at.run;
    const auto& work_class = classes()[one.class_index];
    at.budgets->first_attempt(work_class.name, work_class.target, one.queued_request.work);
    const auto result =
        at.queues->submit(work_class.name, one.queued_request, capacity_of(at), events.now());
    if (result.refused) {
        refuse({one.queued_request, *result.refused});
    }
    if (result.evicted) {
        refuse(*result.evicted);
    }
    dispatch_waiting(one.daemon);
}

void simulation::dispatch_waiting(std::size_t at)
{
    daemon& pumped = daemons_[at];
    while (pumped.alive) {
        const auto summary = pumped.pools->summary(service, local, events.now());
        const auto room = summary.open > 0          ? admission::room::any
                          : summary.urgent_open > 0 ? admission::room::urgent_only
                                                    : admission::room::none;
        const auto next = pumped.queues->next(service, room, capacity_of(pumped), events.now());
        std::ranges::for_each(next.dropped, [&](const auto& late) { refuse(late); });
        if (!next.granted) {
            if (next.dropped.empty()) {
                return;
            }
            continue;
        }
        const std::size_t number = job_index(*next.granted);
        const bool urgent = admission::is_urgent(classes()[jobs_[number].class_index].target);
        const auto where = pumped.pools->acquire(
            service, local, {next.granted->work, 0, urgent, next.granted->finish_by},
            choices_random_(), events.now());
        if (!where) {
            pumped.queues->put_back(next.work_class, *next.granted);
            return;
        }
        send(number, *where);
    }
}

void simulation::send(std::size_t number, const routing::endpoint_assignment& where)
{
    job& one = jobs_[number];
    const auto found = std::ranges::find(engines_, where.endpoint,
                                         [](const engine& known) { return known.described.name; });
    if (!found->model.alive()) {
        daemon& at = daemons_[one.daemon];
        at.pools->release(where, {routing::outcome_kind::failed, 0, {}}, events.now());
        at.queues->put_back(classes()[one.class_index].name, one.queued_request);
        return;
    }
    one.where = where;
    one.sent = events.now();
    found->model.add(number, one.work - one.done, where.urgent, events.now());
    engine_changed(*found);
}

void simulation::engine_changed(engine& changed)
{
    const auto first_token = duration_of(1 / changed.model.speed());
    for (const std::size_t number : changed.model.take_started()) {
        job& one = jobs_[number];
        one.first_output = one.first_output.value_or(events.now() + first_token);
    }
    const auto next = changed.model.next_finish();
    const std::uint64_t version = ++changed.version;
    if (next) {
        const auto at = static_cast<std::size_t>(&changed - engines_.data());
        events.schedule_after(*next, [this, at, version] {
            if (engines_[at].version == version) {
                engine_event(at);
            }
        });
    }
}

void simulation::engine_event(std::size_t at)
{
    engine& one = engines_[at];
    one.model.advance(events.now());
    const auto finished = one.model.take_finished();
    engine_changed(one);
    std::ranges::for_each(finished, [&](std::size_t number) { finish(number); });
}

void simulation::finish(std::size_t number)
{
    job& one = jobs_[number];
    one.ended = events.now();
    if (!submitting_daemon_runs(one)) {
        return;
    }
    daemon& at = daemons_[one.daemon];
    const auto name = classes()[one.class_index].name;
    at.pools->release(
        *one.where, {routing::outcome_kind::finished, one.work - one.done, events.now() - one.sent},
        events.now());
    at.queues->finished(name, one.queued_request, *one.first_output, events.now());
    dispatch_waiting(one.daemon);
}

void simulation::report(std::size_t at)
{
    events.schedule_after(report_period, [this, at] { report(at); });
    const fake_endpoint& model = engines_[at].model;
    if (reports_stopped || !model.alive()) {
        return;
    }
    const routing::load_report seen{engines_[at].described.name,
                                    static_cast<std::uint32_t>(model.slots()),
                                    static_cast<std::uint32_t>(model.running()),
                                    static_cast<std::uint32_t>(model.waiting()), model.speed()};
    events.schedule_after(report_lag, [this, seen] {
        for (std::size_t to = 0; to < daemons_.size(); ++to) {
            daemons_[to].pools->report(pool, seen);
            dispatch_waiting(to);
        }
    });
}

void simulation::slow_all(double factor)
{
    accumulate_capacity();
    for (engine& one : engines_) {
        one.model.slow(factor, events.now());
        engine_changed(one);
    }
}

void simulation::kill_engine(std::size_t number)
{
    accumulate_capacity();
    engine& killed = engines_[number];
    const auto lost = killed.model.die(events.now());
    ++killed.version;
    std::ranges::for_each(lost, [&](const auto& task) { handle_lost_job(task.job, task.left); });
    // Daemons keep the engine in their pools until the platform's list drops it; until then,
    // requests sent to it fail and are queued again.
    events.schedule_after(list_lag, [this, number] {
        for (daemon& one : daemons_) {
            one.pools->remove(pool, engines_[number].described.name);
        }
    });
}

void simulation::handle_lost_job(std::size_t number, double left)
{
    job& one = jobs_[number];
    if (!submitting_daemon_runs(one)) {
        one.failed = true;
        return;
    }
    daemon& at = daemons_[one.daemon];
    const auto& work_class = classes()[one.class_index];
    at.pools->release(*one.where, {routing::outcome_kind::failed, 0, {}}, events.now());
    const double delivered = one.work - left;
    const bool resumes = one.class_index == long_class;
    const retry::retry_request asked{resumes ? core::work_kind::generation
                                             : core::work_kind::idempotent,
                                     retry::may_have_run{delivered},
                                     one.work,
                                     one.queued_request.finish_by,
                                     {}};
    if (at.budgets->request_retry(work_class.name, asked, events.now()) !=
        retry::retry_verdict::retry) {
        one.failed = true;
        return;
    }
    extra_work_ += resumes ? prefix_cost_fraction * delivered : delivered;
    one.done = resumes ? delivered - prefix_cost_fraction * delivered : 0;
    one.queued_request.work = std::max(1.0, one.queued_request.work - one.done);
    one.queued_request.start_by = core::instant::max();
    at.queues->put_back(work_class.name, one.queued_request);
    events.schedule_after(death_detection_delay,
                          [this, daemon = one.daemon] { dispatch_waiting(daemon); });
}

void simulation::restart_daemon(std::size_t at)
{
    daemon& one = daemons_[at];
    one.alive = false;
    const std::uint64_t run = one.run;
    start(one);
    set_shares();
    // Callers whose request was not yet sent to an engine submit it again through another daemon.
    // Running requests continue at the engine, where another daemon attaches to them.
    for (std::size_t number = 0; number < jobs_.size(); ++number) {
        const job& lost = jobs_[number];
        if (lost.daemon == at && lost.daemon_run == run && !lost.where && !lost.refused) {
            events.schedule_after(caller_retry_delay, [this, number] { submit(number); });
        }
    }
    events.schedule_after(daemon_restart_time, [this, at] {
        daemons_[at].alive = true;
        set_shares();
    });
}

void simulation::refuse(const admission::refused_claim& refused)
{
    job& one = jobs_[job_index(refused.queued_request)];
    one.refused = refused.why.reason;
    one.ended = events.now();
}

void simulation::accumulate_capacity()
{
    capacity_seconds_ += capacity() * seconds(events.now() - capacity_accumulated_until_).count();
    capacity_accumulated_until_ = events.now();
}

admission::capacity simulation::capacity_of(daemon& at)
{
    const auto summary = at.pools->summary(service, local, events.now());
    return {summary.work_per_second, summary.slot_rate, summary.slots};
}

bool simulation::submitting_daemon_runs(const job& one) const
{
    return daemons_[one.daemon].run == one.daemon_run;
}

double simulation::capacity() const
{
    return std::transform_reduce(
        engines_.begin(), engines_.end(), 0.0, std::plus{}, [](const engine& one) {
            return one.model.alive() ? one.model.speed() * static_cast<double>(one.model.slots())
                                     : 0;
        });
}

std::size_t simulation::pick_daemon()
{
    std::vector<double> parts;
    parts.reserve(daemons_.size());
    for (std::size_t at = 0; at < daemons_.size(); ++at) {
        parts.push_back(daemons_[at].alive ? daemon_size(at) : 0);
    }
    return std::discrete_distribution<std::size_t>(parts.begin(), parts.end())(choices_random_);
}

std::size_t simulation::job_index(const fairness::queued_request& queued_request)
{
    return std::stoul(queued_request.request.text());
}

} // namespace ej::measure
