#include "call_log.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

namespace ej::soak {

namespace {

constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
constexpr std::array not_executed_statuses{408, 421, 429, 503};

/// Upper limit of the runs of one request by `call_kind`; equals maxAttempts of its route.
constexpr std::array max_runs{1, 2, 5};

bool means_not_executed(int status)
{
    return std::ranges::find(not_executed_statuses, status) != not_executed_statuses.end();
}

/// A guarantee, checked on a call and its number of runs.
struct rule {
    std::string_view name;
    bool (*violated)(const call_record&, int runs);
};

constexpr std::array<rule, 4> rules{{
    {"an answer is not the request's own",
     [](const call_record& call, int) { return call.status == 200 && !call.correct; }},
    {"ran more often than allowed",
     [](const call_record& call, int runs) {
         return runs > max_runs.at(static_cast<std::size_t>(call.kind));
     }},
    {"was answered as not run and has run",
     [](const call_record& call, int runs) { return means_not_executed(call.status) && runs > 0; }},
    {"was denied although it is proper",
     [](const call_record& call, int) {
         return call.status >= first_client_error && call.status < first_server_error &&
                !means_not_executed(call.status);
     }},
}};

} // namespace

void call_log::add(const call_record& call)
{
    const std::scoped_lock lock(mutex_);
    calls_.push_back(call);
}

void call_log::add(const kill_record& kill)
{
    const std::scoped_lock lock(mutex_);
    kills_.push_back(kill);
}

bool call_log::killed_during(const call_record& call) const
{
    return std::ranges::any_of(kills_, [&](const kill_record& kill) {
        return kill.daemon == call.daemon && call.began <= kill.until && call.ended >= kill.at;
    });
}

std::vector<std::string> call_log::faults(const std::map<std::string, int>& runs) const
{
    const std::scoped_lock lock(mutex_);
    std::vector<std::string> found;
    std::set<std::string> requested_ids;
    const auto report = [&](const call_record& call, std::string_view finding, int count) {
        found.push_back("request " + call.id + " at daemon " + std::to_string(call.daemon) + " " +
                        std::string(finding) + " (status " + std::to_string(call.status) + ", " +
                        std::to_string(count) + " runs)");
    };
    for (const call_record& call : calls_) {
        requested_ids.insert(call.id);
        const auto ran = runs.find(call.id);
        const int count = ran == runs.end() ? 0 : ran->second;
        for (const rule& one : rules) {
            if (one.violated(call, count)) {
                report(call, one.name, count);
            }
        }
        // The daemon may close a reused connection while the request is on its way, but then the
        // request must not have run.
        const bool lost = call.status == 0 && !(call.connection_reused && count == 0);
        if (lost && !killed_during(call)) {
            report(call, "was lost by a daemon that lives", count);
        }
    }
    for (const auto& [id, count] : runs) {
        if (!requested_ids.contains(id)) {
            found.push_back("request " + id + " ran and was never asked");
        }
    }
    return found;
}

std::vector<call_record> call_log::calls() const
{
    const std::scoped_lock lock(mutex_);
    return calls_;
}

std::string call_log::summary() const
{
    const std::scoped_lock lock(mutex_);
    std::map<std::string, int> counts;
    for (const call_record& call : calls_) {
        const bool cut = call.status == 200 && !call.complete;
        ++counts[cut ? "cut" : std::to_string(call.status)];
    }
    std::string text = std::to_string(calls_.size()) + " calls:";
    for (const auto& [outcome, count] : counts) {
        text += " " + outcome + "=" + std::to_string(count);
    }
    return text;
}

} // namespace ej::soak
