#pragma once

#include "approach.h"
#include "history.h"
#include "run_figures.h"

#include <suspects/part_table.h>

#include <core/instant.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace ej::measure {

/// Model of daemons with a table each and of endpoints that die when a deadly request begins its
/// output there.
class prompt_fleet {
public:
    prompt_fleet(const history& chosen, const approach& how, std::uint64_t seed);

    /// Plays the history.
    [[nodiscard]] run_figures run();

private:
    static constexpr std::size_t daemons = 9;
    static constexpr std::size_t domains = 3;
    static constexpr std::size_t endpoints_per_domain = 5;
    static constexpr std::size_t endpoints = domains * endpoints_per_domain;

    struct request {
        std::size_t daemon = 0;
        std::vector<suspects::part_digest> parts;
        std::uint64_t deadly = 0; // The deadly part; 0: none.
        int attempts = 0;
    };

    struct engine {
        int incarnation = 0;
        bool up = true;
        std::map<int, request> running; // Without output so far.
    };

    void at(core::instant when, std::function<void()> action);
    void after(core::duration pause, std::function<void()> action);
    void schedule_arrivals();
    void schedule_faults();
    void schedule_kills();
    void schedule_reports();
    void arrive(bool deadly_time);
    void send(request one, const std::vector<suspects::part_digest>& trial_of);
    void begin_output(std::size_t place, int incarnation, int number);
    void crash(std::size_t place, bool by_part);
    void observe_death(std::size_t place, int incarnation, const request& lost);
    void record_death(std::size_t daemon, const suspects::part_death& seen);
    void record_output(std::size_t daemon, const std::vector<suspects::part_digest>& parts);
    void review(std::size_t daemon);
    void report_held(std::size_t daemon);
    void restart(std::size_t daemon);
    [[nodiscard]] bool waits_for_isolation(const request& one, std::size_t place);
    [[nodiscard]] std::size_t domain_of(std::size_t place) const;
    [[nodiscard]] bool is_deadly(suspects::part_digest part) const;
    [[nodiscard]] std::unique_ptr<suspects::part_table> make_table() const;
    void tell_peers(std::size_t from, const std::function<void(std::size_t)>& action);

    history chosen_;
    approach how_;
    std::mt19937_64 random_;
    core::instant now_;
    std::multimap<core::instant, std::function<void()>> scheduled_;
    std::array<std::unique_ptr<suspects::part_table>, daemons> tables_;
    std::array<engine, endpoints> engines_;
    std::map<suspects::part_digest, suspects::held_part> stored_;
    std::map<std::uint64_t, std::vector<core::instant>> deadly_deaths_;
    std::vector<std::uint64_t> held_once_;
    int requests_ = 0;
    run_figures figures_;
};

} // namespace ej::measure
