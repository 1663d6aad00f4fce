#pragma once

#include "asio.h"

#include <runtime/daemon_settings.h>

#include "action_driver.h"
#include "action_runner.h"
#include "caller_api.h"
#include "claim_driver.h"
#include "config_service.h"
#include "daemon_context.h"
#include "daemon_operator.h"
#include "member_config_peers.h"
#include "member_poller.h"
#include "member_service.h"
#include "message_router.h"
#include "short_call_api.h"
#include "target_reporter.h"
#include "ticket_api.h"

#include <http/server.h>
#include <operator_api/operator_server.h>
#include <platform/client.h>

#include <absl/status/status.h>
#include <boost/asio/thread_pool.hpp>

#include <memory>

namespace ej::runtime {

/// The components of a daemon; each may depend on those declared before it.
class daemon_parts {
public:
    /// Throws std::runtime_error if the peer address cannot be bound.
    explicit daemon_parts(daemon_settings settings);

    /// Stops and joins the threads; work that is still running is abandoned.
    ~daemon_parts();
    daemon_parts(const daemon_parts&) = delete;
    daemon_parts& operator=(const daemon_parts&) = delete;
    daemon_parts(daemon_parts&&) = delete;
    daemon_parts& operator=(daemon_parts&&) = delete;

    /// Binds the caller and operator addresses and starts the background tasks. Error: Unavailable.
    absl::Status start();

    [[nodiscard]] daemon_context& shared() { return *shared_; }
    [[nodiscard]] member_service& members() { return members_; }
    [[nodiscard]] core::address caller_address() const { return caller_server_->local(); }
    [[nodiscard]] core::address operator_address() const { return operator_server_->local(); }

private:
    [[nodiscard]] member_hooks hooks();
    [[nodiscard]] actions::owner self() const;
    [[nodiscard]] short_call_api::runner_map runners() const;
    [[nodiscard]] member_poller::load_function load_handler();
    absl::Status listen();
    boost::asio::awaitable<void> update_members();

    boost::asio::thread_pool threads_;
    boost::asio::any_io_executor executor_;
    std::shared_ptr<daemon_context> shared_;
    std::shared_ptr<platform::client> platform_;
    message_router router_;
    member_service members_;
    member_poller poller_;
    member_config_peers config_peers_;
    config_service config_;
    std::shared_ptr<claim_driver> claims_;
    std::shared_ptr<action_driver> actions_;
    std::shared_ptr<action_runner> action_runner_;
    std::shared_ptr<caller_api> callers_;
    target_reporter targets_;
    daemon_operator operators_;
    std::unique_ptr<http::server> caller_server_;
    std::unique_ptr<operator_api::operator_server> operator_server_;
};

} // namespace ej::runtime
