#pragma once

#include "../event_queue.h"
#include "engine_model.h"
#include "generation_figures.h"
#include "load_pattern.h"
#include "placement_way.h"

#include <forwarding/endpoint_choice.h>
#include <forwarding/endpoint_stats_table.h>
#include <forwarding/load_share.h>
#include <overload/copy_gate.h>
#include <overload/generation_demand.h>
#include <overload/placement_policy.h>
#include <overload/usage_history.h>
#include <overload/waiting_room.h>

#include <core/endpoint.h>
#include <core/instant.h>
#include <core/request_id.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace ej::measure {

/// Model of daemons, which use the real decisions, and of the engines of one service. Daemons learn
/// of each other's load after some milliseconds.
class generation_fleet {
public:
    generation_fleet(const load_pattern& pattern, const placement_way& way, std::uint64_t seed);

    /// Plays the pattern.
    generation_figures run();

private:
    struct caller {
        std::uint64_t id = 0;
        core::instant first{}; ///< Of the first attempt.
        core::instant arrived{};
        forwarding::call_size size;
        std::uint64_t output = 0;
        std::uint64_t produced = 0; ///< Tokens delivered.
        std::size_t daemon = 0;
        std::size_t engine = 0;
        std::optional<std::size_t> copy;
        core::instant sent{};
        core::duration forecast{};
        core::instant last_event{};
        core::duration longest_pause{};
        std::optional<core::instant> first_output;
        std::uint64_t unread = 0; ///< Counted in the daemon's statistics.
        std::uint64_t held = 0;
        bool gives_up = false;
        bool waits = false;
        bool came_back = false;
        bool may_have_run = false;
    };

    struct daemon {
        forwarding::endpoint_stats_table stats;
        overload::usage_history usage;
        overload::copy_gate copies;
        std::unique_ptr<overload::waiting_room> room;
        std::uint64_t messages = 0;
        bool looking = false;
    };

    void arrive();
    void ask(caller& one);
    bool place(caller& one);
    void send(caller& one, std::size_t engine, core::duration forecast);
    void release(caller& one);
    void drop_copy(caller& one);
    void tell(std::size_t from, std::size_t engine);
    void tell_all(std::size_t from);
    void apply(std::size_t from, bool whole, std::vector<forwarding::load_share> shares);
    void look(std::size_t at);
    void look_later(std::size_t at);
    void refuse(caller& one, core::duration come_back);
    void on_event(std::uint64_t id);
    void on_end(std::uint64_t id);
    void crash_wave();
    void crash(std::size_t engine);
    void lost(const engine_job& job);
    void finish(std::uint64_t id, double generation_figures::* counter);
    [[nodiscard]] std::vector<forwarding::candidate> candidates(daemon& by) const;
    [[nodiscard]] overload::generation_demand demand_of(const caller& one) const;

    load_pattern pattern_;
    placement_way way_;
    std::mt19937_64 random_;
    event_queue events_;
    std::unique_ptr<const forwarding::endpoint_choice> choice_;
    std::unique_ptr<const overload::placement_policy> placement_;
    std::vector<std::unique_ptr<engine_model>> engines_;
    std::vector<core::endpoint> endpoints_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::map<std::uint64_t, caller> callers_;
    std::uint64_t last_id_ = 0;
    std::uint64_t turn_ = 0;
    generation_figures figures_;
};

} // namespace ej::measure
