#include "notice_log.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace ej::soak {

namespace {

// The platform's bounds: from an answer of a leaving endpoint to the last request to it, from a
// refusal to the last request within the pause, and the requests allowed after that.
constexpr std::chrono::milliseconds drain_time{2'000};
constexpr std::chrono::milliseconds refusal_time{500};
constexpr std::size_t arrivals_in_pause = 2;

/// What one endpoint recorded of the requests of one daemon.
struct exchange_record {
    std::vector<std::pair<core::instant, core::instant>> arrivals; ///< Sent by the caller, arrived.
    std::vector<core::instant> leaving; ///< When callers had whole answers that said so.
    std::vector<std::pair<core::instant, core::instant>> pauses; ///< Refused, end of the pause.
};

using endpoint_and_daemon = std::pair<std::string, std::size_t>;

std::map<endpoint_and_daemon, exchange_record>
exchanges_of(const std::vector<call_record>& calls, const std::vector<endpoint_notice>& notices)
{
    std::map<std::string, const call_record*> call_of;
    std::ranges::for_each(calls, [&](const call_record& one) { call_of[one.id] = &one; });
    std::map<std::string, int> sends;
    for (const endpoint_notice& one : notices) {
        sends[one.request] += one.kind == notice_kind::arrived ? 1 : 0;
    }
    std::map<endpoint_and_daemon, exchange_record> found;
    for (const endpoint_notice& one : notices) {
        const auto call = call_of.find(one.request);
        if (call == call_of.end()) {
            continue;
        }
        auto& record = found[{one.endpoint, call->second->daemon}];
        if (one.kind == notice_kind::arrived) {
            record.arrivals.emplace_back(call->second->began, one.at);
        }
        else if (one.kind == notice_kind::paused) {
            record.pauses.emplace_back(one.at, one.until);
        }
        // Of several sends, the caller may have got another one's answer.
        else if (call->second->complete && sends[one.request] == 1) {
            record.leaving.push_back(call->second->ended);
        }
    }
    return found;
}

} // namespace

bool notice_log::ran(std::size_t daemon, core::instant from, core::instant to) const
{
    return std::ranges::none_of(outages_, [&](const daemon_outage& outage) {
        return outage.daemon == daemon && outage.at <= to && from <= outage.until;
    });
}

std::vector<std::string> notice_log::faults(const std::vector<call_record>& calls,
                                            const std::vector<endpoint_notice>& notices) const
{
    std::vector<std::string> found;
    for (const auto& [where, record] : exchanges_of(calls, notices)) {
        const auto& [endpoint, daemon] = where;
        const auto report = [&, &who = endpoint, from = daemon](std::ptrdiff_t count,
                                                                const std::string& what) {
            std::string line = "endpoint " + who + " got " + std::to_string(count);
            line += " requests from daemon " + std::to_string(from) + " " + what;
            found.push_back(std::move(line));
        };
        const auto late =
            std::ranges::count_if(record.arrivals, [&, from = daemon](const auto& arrival) {
                return std::ranges::any_of(record.leaving, [&](core::instant said) {
                    return arrival.first > said + drain_time && ran(from, said, arrival.second);
                });
            });
        if (late > 0) {
            report(late, "after answers that said that it leaves");
        }
        for (const auto& [refused, until] : record.pauses) {
            const auto early =
                std::ranges::count_if(record.arrivals, [&, from = daemon, at = refused,
                                                        end = until](const auto& arrival) {
                    return arrival.second > at + refusal_time && arrival.second < end &&
                           ran(from, at, arrival.second);
                });
            if (std::cmp_greater(early, arrivals_in_pause)) {
                report(early, "within a pause that it had asked for");
                break;
            }
        }
    }
    return found;
}

} // namespace ej::soak
