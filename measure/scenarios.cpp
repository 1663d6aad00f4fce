#include "scenario.h"
#include "settings.h"
#include "simulation.h"

namespace ej::measure {

namespace {

using namespace std::chrono_literals;

core::work_class make_class(const char* name, core::work_kind kind,
                            std::chrono::milliseconds first_token, std::chrono::milliseconds finish)
{
    core::work_class made;
    made.name = core::class_id(name);
    made.service = core::service_id("model");
    made.kind = kind;
    made.target.first_token = first_token;
    made.target.finish = finish;
    made.target.max_waiting = 2'000;
    return made;
}

std::function<void(simulation&)> between(core::duration from, core::duration to,
                                         const std::function<void(simulation&, bool)>& change)
{
    return [=](simulation& run) {
        run.events.schedule_after(from, [&run, change] { change(run, true); });
        run.events.schedule_after(to, [&run, change] { change(run, false); });
    };
}

void burst(simulation& run, bool on)
{
    run.offered_factor = on ? 5 : 1;
}

void flood(simulation& run, bool on)
{
    run.flood_factor = on ? 1 : 0;
}

void slow(simulation& run, bool on)
{
    run.slow_all(on ? 0.5 : 1);
}

void stop_reports(simulation& run, bool on)
{
    run.reports_stopped = on;
}

void kill_third(simulation& run, bool on)
{
    for (std::size_t at = 0; on && at < run.engine_count(); at += 3) {
        run.kill_engine(at);
    }
}

void restart_half(simulation& run, bool on)
{
    for (std::size_t at = 0; on && at < daemon_count; at += 2) {
        run.restart_daemon(at);
    }
}

} // namespace

const std::vector<core::work_class>& classes()
{
    static const std::vector<core::work_class> all{
        make_class("summary", core::work_kind::generation, 10s, 60s),
        make_class("lookup", core::work_kind::idempotent, 1s, 2s)};
    return all;
}

std::vector<scenario> all_scenarios()
{
    return {{"idle, lookups alone", 0.04, 0, {}},
            {"50 %", 0.5, 0.95, {}},
            {"80 %", 0.8, 0.95, {}},
            {"95 %", 0.95, 0.95, {}},
            {"120 %", 1.2, 0.95, {}},
            {"burst of 5 times for 3 s at 50 %", 0.5, 0.95, between(60s, 63s, burst)},
            {"one workspace floods, 40 s at 60 %", 0.6, 0.95, between(50s, 90s, flood)},
            {"a third of the engines dies at 60 %", 0.6, 0.95, between(60s, 61s, kill_third)},
            {"all slow by half, 30 s at 80 %", 0.8, 0.95, between(50s, 80s, slow)},
            {"reports stop, 40 s at 80 %", 0.8, 0.95, between(50s, 90s, stop_reports)},
            {"half of the daemons restart at 80 %", 0.8, 0.95, between(60s, 61s, restart_half)}};
}

} // namespace ej::measure
