#pragma once

#include "member_service.h"

#include <http/client.h>
#include <platform/client.h>
#include <wire/load_response.h>

#include <boost/asio/any_io_executor.hpp>

#include <functional>

namespace ej::runtime {

/// Drives a member service: runs its timer, polls the platform's VM list if this daemon is one of
/// its pollers, and polls the load of the endpoints assigned to this daemon. Must outlive the
/// executor's last task.
class member_poller {
public:
    /// Called with each load report, on the executor.
    using load_function = std::function<void(const core::endpoint&, const wire::load_response&)>;

    /// `members`, `platform` and `calls` outlive the poller.
    member_poller(boost::asio::any_io_executor executor, const daemon_settings& settings,
                  member_service& members, platform::client& platform, http::client& calls,
                  load_function on_load);

    /// Starts the timer and the polling; they end when the executor stops.
    void start();

private:
    boost::asio::awaitable<void> run_timer();
    boost::asio::awaitable<void> poll_vm_list();
    boost::asio::awaitable<void> poll_loads();
    boost::asio::awaitable<void> poll_load(core::endpoint endpoint);

    boost::asio::any_io_executor executor_;
    const core::duration list_interval_;
    const core::duration report_interval_;
    member_service& members_;
    platform::client& platform_;
    http::client& calls_;
    load_function on_load_;
};

} // namespace ej::runtime
