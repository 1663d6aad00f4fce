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

/// Eight daemons, each with the product's decisions, before twenty engines whose speeds differ
/// 1:10.
class simulation {
public:
    static constexpr std::size_t long_class = 0;
    static constexpr std::size_t short_class = 1;

    simulation(const strategy& strategy, const scenario& scenario, std::uint64_t seed);

    void run();

    event_queue events;
    double offered_factor = 1; ///< Multiplies the arrivals.
    double flood_factor = 0;   ///< Long work of one small workspace beyond the rest, over capacity.
    bool reports_stopped = false;

    void slow_all(double factor);
    void kill_engine(std::size_t engine);
    void restart_daemon(std::size_t daemon);

    [[nodiscard]] const std::vector<job>& jobs() const { return jobs_; }
    [[nodiscard]] std::size_t engine_count() const { return engines_.size(); }
    [[nodiscard]] double extra_work() const { return extra_work_; }
    [[nodiscard]] double capacity_used_by() const { return capacity_seconds_; }

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
    void plan_arrivals(std::size_t kind);
    void arrive(std::size_t kind, std::size_t workspace);
    void submit(std::size_t number);
    void pump(std::size_t at);
    void send(std::size_t number, const routing::placement& where);
    void engine_changed(engine& changed);
    void engine_event(std::size_t at);
    void report(std::size_t at);
    void finish(std::size_t number);
    void lose(std::size_t number, double left);
    void refuse(const admission::refused_claim& refused);
    void note_capacity();
    [[nodiscard]] admission::capacity capacity_of(daemon& at);
    [[nodiscard]] bool owned(const job& one) const;
    [[nodiscard]] double capacity() const;
    [[nodiscard]] std::size_t any_daemon();
    [[nodiscard]] static std::size_t number_of(const fairness::claim& claim);

    const strategy& strategy_;
    const scenario& scenario_;
    std::mt19937_64 arrivals_random_; // Apart, so that all strategies see the same arrivals.
    std::mt19937_64 choices_random_;
    std::vector<daemon> daemons_;
    std::vector<engine> engines_;
    std::vector<job> jobs_;
    double full_capacity_ = 0;
    double extra_work_ = 0;
    double capacity_seconds_ = 0;
    core::instant capacity_noted_{};
};

} // namespace ej::measure
