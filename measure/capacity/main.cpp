#include "row.h"
#include "slopes.h"
#include "target.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace ej::measure {

namespace {

constexpr double seconds_a_day = 86'400;
constexpr double bytes_a_megabyte = 1e6;
constexpr double microseconds = 1e-6;
constexpr double percent = 100;

std::string text(double value)
{
    std::string digits(32, '\0');
    const int length = std::snprintf(digits.data(), digits.size(), "%.6g", value);
    digits.resize(static_cast<std::size_t>(length));
    return digits;
}

/// The load of one daemon, with the total divided evenly among the daemons.
std::vector<row> data_path(const target& goal, const slopes& cost)
{
    const double tokens = goal.tokens_per_second / goal.daemons;
    const double requests = goal.requests_per_second / goal.daemons;
    const double streams = tokens * goal.seconds_between_tokens;
    return {{"daemon", "tokens relayed", "tokens a second / daemons", tokens, "a second",
             "a coroutine and a strand per stream"},
            {"daemon", "requests", "requests a second / daemons", requests, "a second",
             "any daemon serves any request"},
            {"daemon", "open streams", "tokens a second x time between tokens", streams, "",
             "state per stream alone"},
            {"daemon", "processor for tokens", "tokens x " + text(cost.token_us) + " us",
             tokens * cost.token_us * microseconds * percent, "% of a core",
             "one line in, one event out; no lock shared by streams"},
            {"daemon", "processor for requests", "requests x " + text(cost.request_us) + " us",
             requests * cost.request_us * microseconds * percent, "% of a core",
             "kept connections to endpoints"},
            {"daemon", "processor for choices", "requests x " + text(cost.choice_us) + " us",
             requests * cost.choice_us * microseconds * percent, "% of a core",
             "two choices out of an index; fair queue by class"},
            {"daemon", "memory of streams",
             "streams x (" + text(cost.stream_kb) + " KB + delivered text)",
             streams * (cost.stream_kb + cost.delivered_kb) * 1e3 / bytes_a_megabyte, "MB",
             "delivered tokens kept until the end of the answer"}};
}

std::vector<row> control(const target& goal, const slopes& cost)
{
    const double changes = goal.changes_per_day / seconds_a_day;
    const double watchers = goal.failure_domains * cost.watchers_per_domain;
    const double watch_calls = watchers * cost.watch_calls_per_second;
    const double list_calls =
        goal.failure_domains * cost.list_readers_per_domain / cost.list_interval_seconds;
    return {{"daemon", "membership, polls and heartbeats", "measured at the target's size",
             cost.membership_bytes, "bytes a second", "ring with doubling steps, digests"},
            {"daemon", "configuration passed on and digests", "measured sizes x changes",
             cost.config_bytes, "bytes a second", "tree over the domain's members"},
            {"daemon", "control, together", "sum of the two",
             cost.membership_bytes + cost.config_bytes, "bytes a second", ""},
            {"bridge", "control, together", "the highest seen plus configuration",
             cost.membership_highest_bytes + cost.config_bytes, "bytes a second",
             "summaries between domains"},
            {"watcher", "logs read", "measured sizes x changes", cost.watcher_bytes,
             "bytes a second", "two of a domain watch"},
            {"daemon", "processor to apply changes", "changes x " + text(cost.apply_us) + " us",
             changes * cost.apply_us * microseconds * percent, "% of a core",
             "immutable configuration, replaced whole"},
            {"daemon", "configuration in memory", "measured stored size x 2",
             cost.config_stored_bytes * 2 / bytes_a_megabyte, "MB", ""},
            {"platform", "writes of configuration", "changes x 1.17",
             changes * cost.writes_per_change, "a second",
             "compare-and-swap of the log, snapshot each 12 changes"},
            {"platform", "calls of watchers", "watchers x calls of one", watch_calls, "a second",
             "watchers per failure domain, not per daemon"},
            {"platform", "reads of the VM list", "readers / interval", list_calls, "a second",
             "two readers a domain, paced by the list's length"},
            {"platform", "reads, part of its rate", "watchers and lists",
             (watch_calls + list_calls) / goal.platform_reads_per_second * percent, "%", ""},
            {"platform", "claims of callers' keys it bears", "64 values x 8000 claims / 20 min",
             cost.claims_per_second, "a second", "tickets need no call"}};
}

void print(const std::vector<row>& rows)
{
    std::ranges::for_each(rows, [](const row& one) {
        std::printf("| %s | %s | %s | %.4g %s | %s |\n", one.role.c_str(), one.what.c_str(),
                    one.arithmetic.c_str(), one.value, one.unit.c_str(), one.mechanism.c_str());
    });
}

} // namespace

} // namespace ej::measure

int main()
{
    const ej::measure::target goal;
    const ej::measure::slopes cost;
    std::puts("| role | what | arithmetic | at the target | mechanism |\n|---|---|---|---|---|");
    ej::measure::print(ej::measure::data_path(goal, cost));
    ej::measure::print(ej::measure::control(goal, cost));
    return 0;
}
