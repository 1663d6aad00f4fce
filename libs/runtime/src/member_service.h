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

/// This daemon among the others: carries out what membership decides over the connections between
/// daemons, and carries other libraries' messages. Thread-safe; outlives the executor's last work.
class member_service {
public:
    /// Listens at once. `boot` is higher than in earlier runs of this VM's daemon.
    /// Throws std::runtime_error when the peer address is taken.
    member_service(const boost::asio::any_io_executor& executor, const daemon_settings& settings,
                   membership::boot_number boot, member_hooks hooks);
    ~member_service();

    member_service(const member_service&) = delete;
    member_service& operator=(const member_service&) = delete;
    member_service(member_service&&) = delete;
    member_service& operator=(member_service&&) = delete;

    /// Where peers reach this daemon.
    [[nodiscard]] core::address address() const;

    /// The platform's list.
    void set_vm_list(const std::vector<platform::vm_record>& vms);

    /// An endpoint's own word.
    void report(const membership::endpoint_report& said);

    /// A connection to an endpoint failed.
    void report_failure(const core::endpoint_id& endpoint);

    /// The failure domain's capacity as this daemon sees it.
    void set_capacities(std::vector<membership::service_capacity> capacities);

    /// This daemon takes no new work from now on.
    void drain();

    /// Time has passed.
    void tick();

    /// When `tick` is due at the latest.
    [[nodiscard]] core::instant next_wake();

    /// Sends to the daemon on `to`; lost when it is not known or its connection is lost.
    void send(const core::vm_id& to, const peer_wire::opaque_message& what);

    /// Asks the daemon at `to`. Errors: Unavailable when nothing was sent, Aborted when the
    /// connection was lost after sending, DeadlineExceeded without an answer in time.
    boost::asio::awaitable<absl::StatusOr<std::string>>
    request(core::address to, peer_wire::opaque_message what, std::chrono::milliseconds timeout);

    /// True when this daemon is one of those that ask the platform for its list.
    [[nodiscard]] bool polls_list();

    /// The endpoints whose load this daemon asks for.
    [[nodiscard]] std::vector<core::endpoint> watched();

    /// The daemons of this failure domain, as known here.
    [[nodiscard]] std::vector<membership::member_entry> members() { return members_.all(); }

    /// Other failure domains' summaries that were heard lately.
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
    std::vector<core::endpoint> published_; // Used on the strand alone.
};

} // namespace ej::runtime
