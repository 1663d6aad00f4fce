#include "asio.h"

#include "member_poller.h"

#include <http/pause_for.h>

#include <logging/log.h>
#include <membership/list_pacing.h>

#include <algorithm>

namespace ej::runtime {

namespace {

// Approximate size of one VM in the list; the polling interval grows with the size of the list.
constexpr std::size_t vm_line_bytes = 160;

core::instant clock_now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

member_poller::member_poller(asio::any_io_executor executor, const daemon_settings& settings,
                             member_service& members, platform::client& platform,
                             http::client& calls, load_function on_load)
    : executor_(std::move(executor)), list_interval_(settings.list_interval),
      report_interval_(settings.report_interval), members_(members), platform_(platform),
      calls_(calls), on_load_(std::move(on_load))
{
}

void member_poller::start()
{
    asio::co_spawn(executor_, run_timer(), asio::detached);
    asio::co_spawn(executor_, poll_vm_list(), asio::detached);
    asio::co_spawn(executor_, poll_loads(), asio::detached);
}

asio::awaitable<void> member_poller::run_timer()
{
    for (;;) {
        co_await http::pause_for(
            std::max(members_.next_wake() - clock_now(), core::duration::zero()));
        members_.tick();
    }
}

asio::awaitable<void> member_poller::poll_vm_list()
{
    for (;;) {
        auto interval = list_interval_;
        if (members_.polls_list()) {
            const auto listed = co_await platform_.vms();
            if (listed.ok()) {
                members_.set_vm_list(*listed);
                interval =
                    std::max(interval, membership::list_interval(listed->size() * vm_line_bytes));
            }
            else {
                logging::log(logging::level::warn, "reading the VM list failed",
                             {{"error", listed.status().ToString()}});
            }
        }
        co_await http::pause_for(interval);
    }
}

asio::awaitable<void> member_poller::poll_loads()
{
    for (;;) {
        for (auto& endpoint : members_.watched()) {
            asio::co_spawn(executor_, poll_load(std::move(endpoint)), asio::detached);
        }
        co_await http::pause_for(report_interval_);
    }
}

asio::awaitable<void> member_poller::poll_load(core::endpoint endpoint)
{
    const auto asked = clock_now();
    http::request question;
    question.target = "/load";
    http::call_options options;
    options.deadline = report_interval_;
    options.connect_timeout = report_interval_;
    const auto answer = co_await calls_.fetch(endpoint.where, std::move(question), options);
    if (!answer.ok()) {
        members_.report_failure(endpoint.name);
        co_return;
    }
    const auto load = wire::parse_load_response(answer->body);
    if (!load.ok() || load->endpoint != endpoint.name) {
        members_.report_failure(endpoint.name);
        co_return;
    }
    members_.report({load->endpoint, load->incarnation, load->leaving, asked});
    if (on_load_) {
        on_load_(endpoint, *load);
    }
}

} // namespace ej::runtime
