#pragma once

#include "member_hooks.h"

#include <runtime/daemon_settings.h>

#include <core/address.h>
#include <core/instant.h>
#include <membership/doubling_ring.h>
#include <membership/gossip.h>
#include <peer/peer_node.h>
#include <peer_wire/message.h>
#include <platform/vm_record.h>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace ej::runtime {

/// This daemon's membership in the fleet: carries out the effects of gossip over the connections
/// between daemons, and transports other libraries' messages. Thread-safe. Must outlive the
/// executor's last task.
class member_service {
public:
    /// Starts listening. `boot` must be higher than in earlier runs of this VM's daemon. Throws
    /// std::runtime_error if the peer address cannot be bound.
    member_service(const boost::asio::any_io_executor& executor, const daemon_settings& settings,
                   membership::boot_number boot, member_hooks hooks);
    ~member_service();

    member_service(const member_service&) = delete;
    member_service& operator=(const member_service&) = delete;
    member_service(member_service&&) = delete;
    member_service& operator=(member_service&&) = delete;

    /// The address at which peers connect to this daemon.
    [[nodiscard]] core::address address() const;

    /// Sets the platform's list of VMs.
    void set_vm_list(const std::vector<platform::vm_record>& vms);

    /// Handles an endpoint's report on itself.
    void report(const membership::endpoint_report& received_report);

    /// Reports a failed call to an endpoint.
    void report_failure(const core::endpoint_id& endpoint);

    /// Sets the capacity of the failure domain as measured by this daemon.
    void set_capacities(std::vector<membership::service_capacity> capacities);

    /// Announces that this daemon takes no new work.
    void drain();

    /// Runs the work that is due.
    void tick();

    /// The time by which `tick` must be called.
    [[nodiscard]] core::instant next_wake();

    /// Sends a message to the daemon on VM `to`. The message is lost if the daemon is unknown or
    /// the connection breaks.
    void send(const core::vm_id& to, const peer_wire::opaque_message& what);

    /// Sends a request to the daemon at `to` and returns its answer. Errors: Unavailable if nothing
    /// was sent, Aborted if the connection was lost after sending, DeadlineExceeded if no answer
    /// came within `timeout`.
    boost::asio::awaitable<absl::StatusOr<std::string>>
    request(core::address to, peer_wire::opaque_message what, std::chrono::milliseconds timeout);

    /// True if this daemon is one of those that poll the platform's VM list.
    [[nodiscard]] bool polls_list();

    /// The endpoints whose load this daemon polls.
    [[nodiscard]] std::vector<core::endpoint> watched();

    /// The daemons of this failure domain, as known here.
    [[nodiscard]] std::vector<membership::member_entry> members() { return members_.all(); }

    /// The recent summaries of other failure domains.
    [[nodiscard]] std::vector<membership::domain_summary> summaries();

private:
    peer::peer_handlers handlers();
    void handle(const membership::event& happened);
    void carry_out(const membership::keep_peers& effect);
    void carry_out(const membership::send_delta& effect);
    void carry_out(const membership::send_digest& effect);
    void receive(const peer::peer_identity& from, const std::string& payload);
    void receive_request(const peer::peer_identity& from, const std::string& payload,
                         peer::peer_handlers::reply reply);
    void publish();
    [[nodiscard]] std::vector<core::vm_id> domain_members();

    const core::failure_domain_id domain_;
    member_hooks hooks_;
    std::promise<void> ready_;
    std::shared_future<void> started_{std::invoke(&std::promise<void>::get_future, ready_).share()};
    std::unique_ptr<peer::peer_node> node_;
    membership::doubling_ring ring_;
    membership::endpoint_directory endpoints_;
    membership::member_directory members_;
    membership::gossip gossip_;
    boost::asio::strand<boost::asio::any_io_executor> publishing_;
    std::atomic<bool> publish_due_{false};
    std::vector<core::endpoint> published_; // Only used on the strand.
};

} // namespace ej::runtime
