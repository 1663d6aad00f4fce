#pragma once

#include "event_queue.h"
#include "fake_endpoint.h"
#include "job.h"
#include "scenario.h"
#include "strategy.h"

#include <admission/class_queues.h>
#include <retry/class_budgets.h>
#include <routing/endpoint_pools.h>

#include <memory>
#include <random>
#include <vector>

namespace ej::measure {

/// Discrete-event simulation of eight daemons, each with the decisions of a strategy, and twenty
/// engines whose speeds span a ratio of 1:10.
class simulation {
public:
    static constexpr std::size_t long_class = 0;
    static constexpr std::size_t short_class = 1;

    simulation(const strategy& strategy, const scenario& scenario, std::uint64_t seed);

    void run();

    event_queue events;
    double offered_factor = 1; ///< Factor on the arrival rate.
    double flood_factor = 0;   ///< Extra long work of one small workspace, over capacity.
    bool reports_stopped = false;

    void slow_all(double factor);
    void kill_engine(std::size_t engine);
    void restart_daemon(std::size_t daemon);

    [[nodiscard]] const std::vector<job>& jobs() const { return jobs_; }
    [[nodiscard]] std::size_t engine_count() const { return engines_.size(); }
    [[nodiscard]] double extra_work() const { return extra_work_; }
    [[nodiscard]] double capacity_seconds() const { return capacity_seconds_; }

private:
    struct daemon {
        std::unique_ptr<admission::class_queues> queues;
        std::unique_ptr<routing::endpoint_pools> pools;
        std::unique_ptr<retry::class_budgets> budgets;
        bool alive = true;
        std::uint64_t run = 0;
    };

    struct engine {
        core::endpoint described;
        fake_endpoint model;
        std::uint64_t version = 0;
    };

    void start(daemon& started);
    void set_shares();
    void plan_arrivals(std::size_t class_index);
    void arrive(std::size_t class_index, std::size_t workspace);
    void submit(std::size_t number);
    void dispatch_waiting(std::size_t at);
    void send(std::size_t number, const routing::endpoint_assignment& where);
    void engine_changed(engine& changed);
    void engine_event(std::size_t at);
    void report(std::size_t at);
    void finish(std::size_t number);
    void handle_lost_job(std::size_t number, double left);
    void refuse(const admission::refused_claim& refused);
    void accumulate_capacity();
    [[nodiscard]] admission::capacity capacity_of(daemon& at);
    [[nodiscard]] bool submitting_daemon_runs(const job& one) const;
    [[nodiscard]] double capacity() const;
    [[nodiscard]] std::size_t pick_daemon();
    [[nodiscard]] static std::size_t job_index(const fairness::queued_request& queued_request);

    const strategy& strategy_;
    const scenario& scenario_;
    std::mt19937_64 arrivals_random_; // Separate generator: all strategies get the same arrivals.
    std::mt19937_64 choices_random_;
    std::vector<daemon> daemons_;
    std::vector<engine> engines_;
    std::vector<job> jobs_;
    double full_capacity_ = 0;
    double extra_work_ = 0;
    double capacity_seconds_ = 0;
    core::instant capacity_accumulated_until_{};
};

} // namespace ej::measure
