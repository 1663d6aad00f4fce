// The fault soak: runs real daemons and endpoints as processes, injects faults by signals and
// loopback proxies, and checks the guarantees against the records of callers and endpoints.

#include "call_log.h"
#include "caller_pool.h"
#include "crash_log.h"
#include "crowd_pool.h"
#include "fault.h"
#include "fault_runner.h"
#include "notice_log.h"
#include "soak_fleet.h"
#include "soak_settings.h"

#include <core/text.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <random>
#include <stdexcept>

namespace ej::soak {

namespace {

namespace po = boost::program_options;

// Covers the longest time for outdated state, for avoiding an endpoint and for draining.
constexpr std::chrono::seconds recovery{4};
constexpr int calls_after_recovery = 10;

soak_settings parse_settings(int argc, char** argv)
{
    soak_settings settings;
    settings.programs = std::filesystem::path(argv[0]).parent_path().string();
    std::string seeds;
    std::size_t fresh = 0;
    std::int64_t seconds = settings.length.count();
    po::options_description options("The soak's settings");
    options.add_options()("seeds", po::value(&seeds), "seeds, separated by commas")(
        "fresh", po::value(&fresh), "number of seeds that are drawn now")(
        "seconds", po::value(&seconds), "time with faults per seed")(
        "other", po::value(&settings.other_program),
        "another build's program, run by every second start of a daemon")(
        "keep", po::value(&settings.failed_logs_folder), "folder for logs of seeds that failed");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    settings.length = std::chrono::seconds(seconds);
    for (const std::string_view one : core::split(seeds, ',')) {
        if (const auto seed = core::parse_number<std::uint64_t>(one)) {
            settings.seeds.push_back(*seed);
        }
    }
    std::random_device random;
    std::generate_n(std::back_inserter(settings.seeds), fresh, std::ref(random));
    return settings;
}

/// Checks after all faults that every daemon serves at least 80 % of reads and generations.
std::vector<std::string> check_recovery(const soak_fleet& system, call_log& calls)
{
    std::vector<std::string> faults;
    for (std::size_t daemon = 0; daemon < soak_fleet::daemon_count; ++daemon) {
        int served = 0;
        for (int number = 0; number < calls_after_recovery; ++number) {
            const auto id = "after-" + std::to_string(daemon) + "-" + std::to_string(number);
            const auto kind = number % 2 == 0 ? call_kind::read : call_kind::generate;
            const auto call = call_once(system, daemon, kind, id);
            served += call.status == 200 && call.complete ? 1 : 0;
            calls.add(call);
        }
        // The endpoints drop a few answers at random (--lost-answers).
        if (served < calls_after_recovery * 4 / 5) {
            faults.push_back("daemon " + std::to_string(daemon) + " serves " +
                             std::to_string(served) + " of " +
                             std::to_string(calls_after_recovery) + " after recovery");
        }
    }
    return faults;
}

/// Checks after all faults that the roll-out of a bad version has ended, and that the version got
/// no more than its limits.
std::vector<std::string> check_rollout(soak_fleet& system, const call_log& calls)
{
    constexpr double share = 0.1; // The daemon's defaults.
    constexpr double requests = 50;
    std::vector<std::string> faults;
    if (!system.wait_for_rollout("rolled_back")) {
        faults.emplace_back("a bad version is not rolled back");
    }
    const auto all = calls.calls();
    const auto for_service = std::ranges::count_if(
        all, [](const call_record& one) { return one.kind != call_kind::generate; });
    const auto exposed = system.runs_at_target();
    if (double(exposed) > share * double(for_service) + requests) {
        faults.push_back("a bad version ran " + std::to_string(exposed) + " of " +
                         std::to_string(for_service) + " requests");
    }
    return faults;
}

bool run(std::uint64_t seed, const soak_settings& settings)
{
    const auto folder = settings.failed_logs_folder + "/" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    call_log calls;
    crash_log crashes;
    notice_log notices;
    std::vector<std::string> faults;
    std::size_t injected = 0;
    {
        const soak_variant variant{has_crashing_part(seed), has_bad_version(seed),
                                   has_crowds(seed)};
        soak_fleet system(settings.programs, folder, variant, settings.other_program);
        if (!system.wait_until_ready()) {
            faults.emplace_back("daemons are not ready");
        }
        const auto plan = make_plan(seed, settings.length);
        injected = plan.size();
        fault_runner runner(system, calls, crashes, notices);
        {
            const crowd_pool crowds(system, has_crowds(seed), seed);
            caller_pool callers(system, calls, seed);
            runner.play(plan);
            system.end_all_faults();
            runner.tend(recovery);
        }
        runner.finish();
        std::ranges::copy(runner.unexpected_exits(), std::back_inserter(faults));
        std::ranges::copy(check_recovery(system, calls), std::back_inserter(faults));
        if (has_bad_version(seed)) {
            std::ranges::copy(check_rollout(system, calls), std::back_inserter(faults));
        }
        const auto runs = system.runs();
        std::ranges::copy(calls.faults(runs), std::back_inserter(faults));
        std::ranges::copy(crashes.faults(calls.calls(), runs), std::back_inserter(faults));
        std::ranges::copy(notices.faults(calls.calls(), system.notices()),
                          std::back_inserter(faults));
    }
    std::cout << "seed " << seed << ": " << injected << " faults, " << calls.summary() << ", "
              << crashes.crashes() << " crashes, " << faults.size() << " promises broken\n";
    for (const std::string& one : faults) {
        std::cout << "  " << one << '\n';
    }
    std::cout << std::flush;
    if (faults.empty()) {
        std::filesystem::remove_all(folder);
    }
    return faults.empty();
}

int soak(int argc, char** argv)
{
    const auto settings = parse_settings(argc, argv);
    const auto failed = std::ranges::count_if(
        settings.seeds, [&](std::uint64_t seed) { return !run(seed, settings); });
    std::cout << settings.seeds.size() << " seeds, " << failed << " failed\n";
    return failed == 0 && !settings.seeds.empty() ? 0 : 1;
}

} // namespace

} // namespace ej::soak

int main(int argc, char** argv)
{
    try {
        return ej::soak::soak(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
