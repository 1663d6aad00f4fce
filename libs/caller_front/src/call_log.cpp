#include "call_log.h"

#include <logging/log.h>

#include <chrono>

namespace ej::front {

namespace {

std::string in_ms(core::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string yes_or_no(bool value)
{
    return value ? "yes" : "no";
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
         {"from_copy", yes_or_no(!added.memory_from.empty())},
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

void log_backoff(const std::string& request, const core::endpoint& endpoint, core::duration delay)
{
    logging::log(logging::level::info, "endpoint requested backoff",
                 {{"request", request},
                  {"endpoint", endpoint.name.text()},
                  {"incarnation", endpoint.incarnation.text()},
                  {"address", core::to_string(endpoint.where)},
                  {"domain", endpoint.domain.text()},
                  {"delay_ms", in_ms(delay)}});
}

void log_backoff_wait(const std::string& request, core::duration delay, core::duration waited)
{
    logging::log(logging::level::info, "request waits for an endpoint",
                 {{"request", request}, {"delay_ms", in_ms(delay)}, {"waited_ms", in_ms(waited)}});
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

void log_silence(const std::string& request, const core::endpoint& endpoint,
                 const silence_report& seen, forwarding::silence_step step)
{
    logging::log(logging::level::info, "endpoint silent",
                 {{"request", request},
                  {"endpoint", endpoint.name.text()},
                  {"address", core::to_string(endpoint.where)},
                  {"detail", seen.detail},
                  {"step", std::string(to_string(step))},
                  {"silent_ms", in_ms(seen.silent_for)},
                  {"timer_late_ms", in_ms(seen.timer_late)}});
}

void log_resume_pause(const std::string& request, std::string_view reason, core::duration pause)
{
    logging::log(
        logging::level::info, "stream waits for an endpoint",
        {{"request", request}, {"reason", std::string(reason)}, {"pause_ms", in_ms(pause)}});
}

void log_placement(const std::string& request, const overload::placement_step& step,
                   core::duration waited)
{
    logging::log(logging::level::info, "generation placed",
                 {{"request", request},
                  {"step", std::string(to_string(step.kind))},
                  {"first_output_ms", in_ms(step.first_output)},
                  {"come_back_ms", in_ms(step.come_back)},
                  {"waited_ms", in_ms(waited)}});
}

void log_first_output(const std::string& request, const core::endpoint& endpoint,
                      core::duration forecast, core::duration measured)
{
    logging::log(logging::level::info, "first output",
                 {{"request", request},
                  {"endpoint", endpoint.name.text()},
                  {"forecast_ms", in_ms(forecast)},
                  {"measured_ms", in_ms(measured)}});
}

void log_call_end(const std::string& request, const forwarding::route& matched_route,
                  const std::string& endpoint, const forwarding::call_progress& progress,
                  const call_end& end)
{
    logging::log(logging::level::info, "call ended",
                 {{"request", request},
                  {"outcome", end.outcome},
                  {"status", std::to_string(end.status)},
                  {"cut", yes_or_no(end.cut)},
                  {"last_failure", end.last_failure},
                  {"route", matched_route.name},
                  {"rules", std::to_string(end.rules_at_start.value())},
                  {"rules_now", std::to_string(end.rules_at_end.value())},
                  {"endpoint", endpoint},
                  {"endpoint_listed", yes_or_no(end.endpoint_listed)},
                  {"sends", std::to_string(progress.sends)},
                  {"unsent", std::to_string(progress.unsent)},
                  {"runs", std::to_string(progress.runs)},
                  {"took_ms", in_ms(end.took)},
                  {"time_left_ms", in_ms(end.time_left)}});
}

void log_unread_parts(const std::string& request, std::size_t read, std::size_t unread)
{
    logging::log(
        logging::level::info, "parts of a prompt not read",
        {{"request", request}, {"read", std::to_string(read)}, {"unread", std::to_string(unread)}});
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
