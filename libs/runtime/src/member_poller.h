#pragma once

#include "member_service.h"

#include <http/client.h>
#include <platform/client.h>
#include <wire/load_answer.h>

#include <boost/asio/any_io_executor.hpp>

#include <functional>

namespace ej::runtime {

/// Feeds a member service: time, the platform's list if this daemon is one of those that ask for
/// it, and the load of the endpoints that fall to this daemon. Outlives the executor's last work.
class member_poller {
public:
    /// Called with each load report, on the executor.
    using load_function = std::function<void(const core::endpoint&, const wire::load_answer&)>;

    /// `members`, `platform` and `calls` outlive the watch.
    member_poller(boost::asio::any_io_executor executor, const daemon_settings& settings,
                  member_service& members, platform::client& platform, http::client& calls,
                  load_function on_load);

    /// Begins, until the executor stops.
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
