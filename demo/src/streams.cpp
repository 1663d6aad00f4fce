#include "scenario.h"
#include "stream_run.h"
#include "table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <ostream>

namespace ej::demo {

namespace {

constexpr std::size_t streams = 6;
constexpr std::uint64_t tokens_each = 300;
constexpr std::uint64_t tokens_before_losses = 60;

harness::generation_call summary(std::size_t number)
{
    const auto name = "log-" + std::to_string(number);
    return {"wharf-key", "key-" + name, "summary", "bell patterns of " + name, tokens_each};
}

} // namespace

bool run_streams(demo_fleet& fleet, std::ostream& out)
{
    std::deque<stream_run> runs; // A deque, as a running `stream_run` must not move.
    for (std::size_t number = 0; number < streams; ++number) {
        runs.emplace_back("log-" + std::to_string(number), summary(number),
                          fleet.daemons_from(number));
    }
    std::ranges::for_each(runs, [](const auto& run) { run.wait_for(tokens_before_losses); });
    const auto engine = fleet.busiest_engine();
    fleet.processes().fault(engine,
                            {{"freeze", true}}); // Stops its token counter before it is read.
    const auto stats = fleet.processes().read(engine, "/stats");
    const auto tokens_of_killed_engine = stats.at("tokens_generated").get<std::uint64_t>();
    fleet.processes().kill(engine);
    fleet.processes().kill("recife-daemon-1");
    out << "killed midway: " << engine << " with " << stats.at("running")
        << " generations, and recife-daemon-1\n\n";

    std::vector<stream_result> results;
    std::ranges::transform(runs, std::back_inserter(results),
                           [](auto& run) { return run.finish(); });
    print_table(out, results);
    const auto made = fleet.engine_total("tokens_generated") + tokens_of_killed_engine;
    const auto asked = streams * tokens_each;
    out << "\ntokens asked for " << asked << ", made " << made << ", extra "
        << static_cast<std::int64_t>(made - asked) << '\n';
    return std::ranges::all_of(results, &stream_result::complete);
}

} // namespace ej::demo
