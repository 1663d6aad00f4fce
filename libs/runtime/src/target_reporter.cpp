#include "asio.h"

#include "target_reporter.h"

#include <http/pause_for.h>

#include <logging/log.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace ej::runtime {

namespace {

constexpr core::duration interval = std::chrono::seconds(1);

double in_seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::string in_milliseconds(core::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

asio::awaitable<void> target_reporter::run()
{
    for (;;) {
        const auto reports = shared_->gate.reports();
        std::ranges::for_each(reports,
                              [this](const admission::target_report& one) { publish(one); });
        co_await http::pause_for(interval);
    }
}

void target_reporter::publish(const admission::target_report& report)
{
    const std::vector<metrics::label> labels{{"class", report.work_class.text()}};
    shared_->metrics.set("class_meets_target", labels, report.met ? 1 : 0);
    shared_->metrics.set("class_waiting", labels, static_cast<double>(report.waiting));
    shared_->metrics.set("class_oldest_waiting_seconds", labels, in_seconds(report.oldest_age));
    shared_->metrics.set("class_missed_share", labels, report.missed_share);
    log_change(report);
}

// A class is assumed to meet its target until the first report that it does not.
void target_reporter::log_change(const admission::target_report& report)
{
    auto& met = met_.try_emplace(report.work_class, true).first->second;
    if (met == report.met) {
        return;
    }
    met = report.met;
    logging::log(met ? logging::level::info : logging::level::warn,
                 met ? "class meets its target again" : "class misses its target",
                 {{"class", report.work_class.text()},
                  {"waiting", std::to_string(report.waiting)},
                  {"oldest_ms", in_milliseconds(report.oldest_age)},
                  {"missed_share", std::to_string(report.missed_share)}});
}

} // namespace ej::runtime
