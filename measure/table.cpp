#include "table.h"

#include "settings.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace ej::measure {

namespace {

using seconds = std::chrono::duration<double>;

struct tally {
    double asked = 0;
    double on_time = 0;
    double late = 0;
    double failed = 0;
    double at_once = 0;
    double last_asked = 0;
    double last_on_time = 0;
    double work_on_time = 0;
    std::map<core::refusal_reason, double> refused;
    std::vector<double> first;
    std::vector<double> finish;
};

bool in_window(core::instant when)
{
    return when >= core::instant{} + window_start && when < core::instant{} + window_end;
}

bool met(const job& one)
{
    const auto& target = classes()[one.class_index].target;
    return one.ended && !one.refused && *one.ended <= one.queued_request.arrived + target.finish &&
           *one.first_output <= one.queued_request.arrived + target.first_token;
}

void add(tally& into, const job& one)
{
    into.asked += 1;
    const bool last = one.queued_request.arrived >= core::instant{} + window_end - final_window;
    into.last_asked += last ? 1 : 0;
    into.last_on_time += last && met(one) ? 1 : 0;
    if (one.refused) {
        into.refused[*one.refused] += 1;
        into.at_once += *one.ended == one.queued_request.arrived ? 1 : 0;
        return;
    }
    if (!one.ended) {
        into.failed += one.failed ? 1 : 0;
        into.late += one.failed ? 0 : 1;
        return;
    }
    (met(one) ? into.on_time : into.late) += 1;
    into.first.push_back(seconds(*one.first_output - one.queued_request.arrived).count());
    into.finish.push_back(seconds(*one.ended - one.queued_request.arrived).count());
}

std::string percentiles(std::vector<double> values)
{
    if (values.empty()) {
        return "-";
    }
    std::ranges::sort(values);
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    const char* separator = "";
    for (const double part : {0.5, 0.95, 0.99}) {
        text << separator
             << values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
        separator = " / ";
    }
    return text.str();
}

double percent(double part, double whole)
{
    return whole > 0 ? 100 * part / whole : 0;
}

std::string reasons(const tally& of)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    const char* separator = "";
    for (const auto& [reason, count] : of.refused) {
        text << separator << core::to_string(reason) << ' ' << percent(count, of.asked);
        separator = ", ";
    }
    return of.refused.empty() ? "-" : text.str();
}

// The lowest percentage of on-time requests among the workspaces, without the flooding one.
double worst_workspace(const std::vector<job>& jobs, std::size_t class_index)
{
    std::map<core::workspace_id, tally> each;
    for (const job& one : jobs) {
        if (one.class_index == class_index && in_window(one.queued_request.arrived) &&
            one.queued_request.workspace.text() != std::to_string(flooding_workspace)) {
            add(each[one.queued_request.workspace], one);
        }
    }
    double worst = 100;
    for (const auto& [workspace, counted] : each) {
        worst = std::min(worst, percent(counted.on_time, counted.asked));
    }
    return worst;
}

} // namespace

void print_header(std::ostream& out)
{
    out << "| case | strategy | class | asked | on time % | late % | failed % | refused % by "
           "reason "
           "| of them at once % | first token s p50 / p95 / p99 | finish s p50 / p95 / p99 | worst "
           "workspace on time % | on time % of the last 20 s | goodput % of capacity | extra work "
           "% |\n"
        << "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

void print_rows(std::ostream& out, const std::string& scenario, const std::string& strategy,
                const simulation& run)
{
    std::array<tally, 2> each;
    double good = 0;
    double all = 0;
    for (const job& one : run.jobs()) {
        if (in_window(one.queued_request.arrived)) {
            add(each.at(one.class_index), one);
        }
        good += met(one) && in_window(*one.ended) ? one.work : 0;
        all += one.ended && !one.refused ? one.work : 0;
    }
    out << std::fixed << std::setprecision(2);
    for (std::size_t class_index = 0; class_index < each.size(); ++class_index) {
        const tally& of = each.at(class_index);
        if (of.asked == 0) {
            continue;
        }
        double refused = 0;
        for (const auto& [reason, count] : of.refused) {
            refused += count;
        }
        out << "| " << scenario << " | " << strategy << " | " << classes()[class_index].name
            << " | " << static_cast<std::size_t>(of.asked) << " | " << percent(of.on_time, of.asked)
            << " | " << percent(of.late, of.asked) << " | " << percent(of.failed, of.asked) << " | "
            << reasons(of) << " | " << (refused > 0 ? percent(of.at_once, refused) : 100.0) << " | "
            << percentiles(of.first) << " | " << percentiles(of.finish) << " | "
            << worst_workspace(run.jobs(), class_index) << " | "
            << percent(of.last_on_time, of.last_asked) << " | "
            << percent(good, run.capacity_seconds()) << " | " << percent(run.extra_work(), all)
            << " |\n";
    }
}

} // namespace ej::measure
