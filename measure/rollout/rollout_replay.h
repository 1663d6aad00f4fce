#pragma once

#include "rollout_figures.h"
#include "rollout_load.h"
#include "rollout_way.h"
#include "version_fault.h"

#include <rollout/evidence_table.h>
#include <rollout/rollout_judge.h>
#include <rollout/rollout_state.h>
#include <rollout/rollout_view.h>

#include <core/instant.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace ej::measure {

/// Replays one roll-out: requests at random times, daemons that report, and the decisions of
/// `libs/rollout` on them. Records take effect at all daemons after a delay.
class rollout_replay {
public:
    rollout_replay(const rollout_load& load, const version_fault& fault, const rollout_way& way,
                   std::uint64_t seed);

    [[nodiscard]] rollout_figures run();

private:
    /// An event at a time of the replay.
    struct event {
        core::instant at;
        std::function<void()> happen;

        friend bool operator>(const event& left, const event& right) { return left.at > right.at; }
    };

    /// A request that is awaited at the target or elsewhere.
    struct awaited {
        std::uint64_t number = 0;
        core::instant sent;
        bool at_target = false;
        std::string route;
    };

    struct daemon {
        rollout::rollout_report seen;
        std::vector<awaited> waiting;
    };

    void schedule(core::duration after, std::function<void()> happen);
    void arrive();
    void send(daemon& by, bool to_target, const std::string& route);
    void end_first_output(daemon& by, bool at_target, const std::string& route, core::duration took,
                          bool failed);
    void report();
    void decide();
    [[nodiscard]] bool is_bad_now(bool one_of_routes) const;
    [[nodiscard]] bool in_wave() const;
    [[nodiscard]] rollout::rollout_view view() const;
    void put(const rollout::rollout_record& record);
    [[nodiscard]] double draw();

    rollout_load load_;
    version_fault fault_;
    rollout_way way_;
    std::mt19937_64 random_;
    core::instant now_;
    core::instant began_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    rollout::rollout_order order_;
    rollout::rollout_state state_;
    std::optional<rollout::rollout_record> on_the_way_; // Written, not in force yet.
    rollout::evidence_table evidence_;
    rollout::rollout_judge judge_;
    std::vector<core::vm_id> members_;
    std::vector<daemon> daemons_;
    rollout_figures figures_;
};

} // namespace ej::measure
