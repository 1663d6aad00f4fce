#include "asio.h"

#include "daemon_operator.h"

#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace ej::runtime {

namespace {

operator_api::class_status class_status_of(const admission::target_report& report)
{
    return {report.work_class, report.waiting,
            std::chrono::duration_cast<std::chrono::milliseconds>(report.oldest_age), report.met};
}

/// Refusals of all classes' queues, by reason; reasons that did not occur are left out.
std::vector<operator_api::refusal_count>
refusals_of(const std::vector<admission::target_report>& reports)
{
    std::vector<operator_api::refusal_count> counts;
    for (const core::refusal_reason reason : core::all_refusal_reasons()) {
        std::uint64_t total = 0;
        for (const admission::target_report& report : reports) {
            total += report.refused.at(static_cast<std::size_t>(reason));
        }
        if (total > 0) {
            counts.push_back({reason, total});
        }
    }
    return counts;
}

} // namespace

daemon_operator::daemon_operator(asio::any_io_executor executor,
                                 std::shared_ptr<daemon_context> shared, config_service& config,
                                 std::uint64_t seed)
    : executor_(std::move(executor)), shared_(std::move(shared)), config_(config), seed_(seed)
{
}

bool daemon_operator::ready()
{
    return !shared_->in_flight_requests.draining() && config_.driver().status().ready;
}

operator_api::daemon_status daemon_operator::status()
{
    operator_api::daemon_status status;
    status.vm = shared_->settings.vm;
    status.domain = shared_->settings.domain;
    status.ready = ready();
    status.draining = shared_->in_flight_requests.draining();
    status.in_flight = shared_->in_flight_requests.size();
    status.configuration = config_.driver().status();
    const auto reports = shared_->gate.reports();
    std::ranges::transform(reports, std::back_inserter(status.classes), class_status_of);
    status.refusals = refusals_of(reports);
    // The directory holds only the endpoints that take work; others are not listed.
    std::ranges::transform(*shared_->endpoints.all(), std::back_inserter(status.endpoints),
                           [](const auto& one) {
                               return operator_api::endpoint_status{one.first, one.second.domain,
                                                                    one.second.service, true};
                           });
    // A daemon receives no report of its own revision from peers.
    const auto own = status.configuration.in_force;
    std::ranges::transform(config_.driver().members(), std::back_inserter(status.members),
                           [&](const config::member_revision& one) {
                               const bool self = one.who.vm == status.vm;
                               return operator_api::member_status{one.who.vm, one.who.domain,
                                                                  self ? own : one.in_force};
                           });
    return status;
}

std::string daemon_operator::metrics_text()
{
    return shared_->metrics.text();
}

config::configuration daemon_operator::configuration_in_force()
{
    return config_.driver().in_force();
}

config::change_id daemon_operator::new_change_id()
{
    return config::change_id(shared_->settings.vm.text() + '-' + std::to_string(seed_) + '-' +
                             std::to_string(changes_.fetch_add(1)));
}

config::submission_result daemon_operator::submit(config::change wanted)
{
    return asio::co_spawn(executor_, config_.submitter().submit(std::move(wanted)),
                          asio::use_future)
        .get();
}

bool daemon_operator::restore_platform()
{
    return asio::co_spawn(executor_, config_.submitter().restore(), asio::use_future).get();
}

void daemon_operator::drain()
{
    shared_->in_flight_requests.drain();
}

} // namespace ej::runtime
