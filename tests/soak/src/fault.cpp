#include "fault.h"

#include "soak_fleet.h"

#include <algorithm>
#include <array>
#include <random>

namespace ej::soak {

namespace {

constexpr std::uint64_t longest_pause_ms = 500;
constexpr std::uint64_t shortest_fault_ms = 100;
constexpr std::uint64_t longest_fault_ms = 2'000;

// Smaller seeds, and the others, are replayed as they were before crashing parts and the signals of
// endpoints existed.
constexpr std::uint64_t first_seed_with_parts = 1'000;
constexpr std::uint64_t seeds_per_seed_with_signals = 4;
constexpr std::uint64_t older_fault_kind_count = 19;

// Smaller seeds are replayed as they were before leaving daemons got SIGHUP.
constexpr std::uint64_t first_seed_with_late_reloads = 2'000;

// Smaller seeds are replayed as they were before roll-outs.
constexpr std::uint64_t first_seed_with_versions = 3'000;
constexpr std::uint64_t seeds_per_seed_with_versions = 3;

// Smaller seeds are replayed as they were before crowds.
constexpr std::uint64_t first_seed_with_crowds = 4'000;
constexpr std::uint64_t seeds_per_seed_with_crowds = 5;

// Faults beside a crashing part: the promise holds for daemons that reach the store and each other.
constexpr std::array faults_beside_crashes{
    fault_kind::kill_daemon,    fault_kind::stop_daemon,          fault_kind::kill_endpoint,
    fault_kind::drain_endpoint, fault_kind::change_configuration, fault_kind::reload_settings};

// Faults beside signals of endpoints, some of them more often than others: an answer that a proxy
// or a pause delays reaches the daemon late.
constexpr std::array faults_beside_signals{
    fault_kind::leave_in_answers, fault_kind::leave_in_answers, fault_kind::leave_in_answers,
    fault_kind::ask_for_pause,    fault_kind::ask_for_pause,    fault_kind::ask_for_pause,
    fault_kind::kill_daemon,      fault_kind::stop_daemon,      fault_kind::cut_store,
    fault_kind::delay_store,      fault_kind::reset_store,      fault_kind::store_outage,
    fault_kind::kill_endpoint,    fault_kind::drain_endpoint,   fault_kind::change_configuration,
    fault_kind::reload_settings};

} // namespace

bool has_crashing_part(std::uint64_t seed)
{
    return seed >= first_seed_with_parts && seed % 2 == 1;
}

bool has_endpoint_signals(std::uint64_t seed)
{
    return seed >= first_seed_with_parts && seed % seeds_per_seed_with_signals == 0;
}

bool has_bad_version(std::uint64_t seed)
{
    return seed >= first_seed_with_versions && seed % seeds_per_seed_with_versions == 0;
}

bool has_crowds(std::uint64_t seed)
{
    return seed >= first_seed_with_crowds && seed % seeds_per_seed_with_crowds == 0;
}

std::vector<fault> make_plan(std::uint64_t seed, std::chrono::milliseconds length)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint64_t count) { return random() % count; };
    std::vector<fault> plan;
    for (std::chrono::milliseconds at{0}; at < length;
         at += std::chrono::milliseconds(draw(longest_pause_ms))) {
        fault made;
        made.at = at;
        made.length = std::chrono::milliseconds(shortest_fault_ms +
                                                draw(longest_fault_ms - shortest_fault_ms));
        made.kind = has_endpoint_signals(seed)
                        ? faults_beside_signals.at(draw(faults_beside_signals.size()))
                        : static_cast<fault_kind>(draw(older_fault_kind_count));
        made.target = draw(soak_fleet::daemon_count * soak_fleet::endpoint_count);
        made.reloads_late =
            seed >= first_seed_with_late_reloads && made.kind == fault_kind::stop_daemon;
        plan.push_back(made);
    }
    if (has_crashing_part(seed)) {
        std::erase_if(plan, [](const fault& one) {
            return std::ranges::find(faults_beside_crashes, one.kind) ==
                   faults_beside_crashes.end();
        });
    }
    return plan;
}

} // namespace ej::soak
