#include "call_log.h"

#include <logging/log.h>

#include <chrono>

namespace ej::front {

namespace {

std::string in_ms(core::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

void log_attempt_begin(const std::string& request, const core::endpoint& endpoint,
                       const forwarding::endpoint_stats& stats, const request_head& added)
{
    logging::log(
        logging::level::info, "attempt began",
        {{"request", request},
         {"endpoint", endpoint.name.text()},
         {"address", core::to_string(endpoint.where)},
         {"domain", endpoint.domain.text()},
         {"in_flight", std::to_string(stats.in_flight)},
         {"others_in_flight", std::to_string(stats.others_in_flight)},
         {"tokens_unread", std::to_string(stats.tokens_unread + stats.others_tokens_unread)},
         {"slowness", std::to_string(stats.slowness)},
         {"behind", added.resume_after ? std::to_string(*added.resume_after) : "start"},
         {"from_copy", added.memory_from.empty() ? "no" : "yes"},
         {"time_left_ms", std::to_string(added.time_left.count())}});
}

void log_attempt_end(const std::string& request, const core::endpoint& endpoint,
                     forwarding::attempt_end end, const std::string& detail, core::duration took,
                     const forwarding::endpoint_stats& stats)
{
    logging::log(logging::level::info, "attempt ended",
                 {{"request", request},
                  {"endpoint", endpoint.name.text()},
                  {"address", core::to_string(endpoint.where)},
                  {"domain", endpoint.domain.text()},
                  {"end", std::string(to_string(end))},
                  {"detail", detail},
                  {"took_ms", in_ms(took)},
                  {"failures_in_row", std::to_string(stats.failures)},
                  {"in_flight", std::to_string(stats.in_flight)}});
}

void log_death(const std::string& request, const core::endpoint& endpoint)
{
    logging::log(logging::level::info, "endpoint died while serving request",
                 {{"request", request},
                  {"endpoint", endpoint.name.text()},
                  {"incarnation", endpoint.incarnation.text()},
                  {"address", core::to_string(endpoint.where)},
                  {"domain", endpoint.domain.text()}});
}

void log_call_end(const std::string& request, const forwarding::route& matched_route,
                  core::revision rules_version, const std::string& endpoint,
                  const forwarding::call_progress& progress, std::string_view outcome,
                  unsigned status, core::duration took)
{
    logging::log(logging::level::info, "call ended",
                 {{"request", request},
                  {"outcome", std::string(outcome)},
                  {"status", std::to_string(status)},
                  {"route", matched_route.name},
                  {"rules", std::to_string(rules_version.value())},
                  {"endpoint", endpoint},
                  {"sends", std::to_string(progress.sends)},
                  {"unsent", std::to_string(progress.unsent)},
                  {"runs", std::to_string(progress.runs)},
                  {"took_ms", in_ms(took)}});
}

void log_rejection(const std::string& request, std::string_view target, std::string_view reason,
                   unsigned status, core::revision rules_version)
{
    logging::log(logging::level::info, "request rejected",
                 {{"request", request},
                  {"target", std::string(target)},
                  {"reason", std::string(reason)},
                  {"status", std::to_string(status)},
                  {"rules", std::to_string(rules_version.value())}});
}

} // namespace ej::front
