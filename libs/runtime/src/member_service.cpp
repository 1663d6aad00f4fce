#include "asio.h"

#include "member_service.h"

#include <membership/poll_plan.h>
#include <peer_wire/codec.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <variant>

namespace ej::runtime {

namespace {

core::instant clock_now()
{
    return std::chrono::steady_clock::now();
}

core::address from_peer(const peer::peer_address& address)
{
    return {address.host, address.port};
}

peer::peer_address to_peer(const core::address& address)
{
    return {address.host, address.port};
}

peer::peer_settings peer_settings_of(const daemon_settings& settings)
{
    peer::peer_settings made;
    made.name = settings.vm.text();
    made.domain = settings.domain.text();
    made.listen = to_peer(settings.peer_listen);
    made.secret = settings.fleet_secrets.list.empty() ? std::string()
                                                      : settings.fleet_secrets.list.front().bytes;
    return made;
}

membership::member_entry self_of(const daemon_settings& settings, membership::boot_number boot,
                                 const core::address& where)
{
    return {settings.vm,     boot, membership::member_version(1), membership::member_state::alive,
            settings.domain, where};
}

bool is_endpoint(const platform::vm_record& vm)
{
    return vm.role == platform::vm_role::engine || vm.role == platform::vm_role::application;
}

} // namespace

member_service::member_service(const boost::asio::any_io_executor& executor,
                               const daemon_settings& settings, membership::boot_number boot,
                               member_hooks hooks)
    : domain_(settings.domain), hooks_(std::move(hooks)),
      node_(std::make_unique<peer::peer_node>(peer_settings_of(settings), handlers())),
      members_(self_of(settings, boot, from_peer(node_->address()))),
      gossip_(members_, endpoints_, ring_, {}, boot.value()),
      publishing_(boost::asio::make_strand(executor))
{
    ready_.set_value();
}

member_service::~member_service()
{
    node_->stop(); // The transport's thread uses the other members.
}

// Peers may connect before the constructor has finished; the transport's thread waits for that, and
// only its first wait can block.
peer::peer_handlers member_service::handlers()
{
    peer::peer_handlers made;
    made.on_connected = [this](const peer::peer_identity& other) {
        started_.wait();
        handle(membership::peer_connected{core::vm_id(other.name),
                                          core::failure_domain_id(other.domain),
                                          from_peer(other.address)});
    };
    made.on_disconnected = [this](const peer::peer_identity& other, peer::drop_reason reason) {
        handle(membership::peer_lost{core::vm_id(other.name), reason != peer::drop_reason::idle});
    };
    made.on_unreachable = [this](const peer::peer_address& where, peer::drop_reason reason) {
        started_.wait();
        if (reason != peer::drop_reason::idle) {
            handle(membership::peer_unreachable{from_peer(where)});
        }
    };
    made.on_message = [this](const peer::peer_identity& other, const std::string& payload) {
        receive(other, payload);
    };
    made.on_request = [this](const peer::peer_identity& other, const std::string& payload,
                             peer::peer_handlers::reply reply) {
        receive_request(other, payload, std::move(reply));
    };
    return made;
}

core::address member_service::address() const
{
    return from_peer(node_->address());
}

void member_service::set_vm_list(const std::vector<platform::vm_record>& vms)
{
    std::vector<membership::listed_endpoint> endpoints;
    membership::daemons_listed daemons;
    for (const auto& vm : vms) {
        if (is_endpoint(vm)) {
            endpoints.push_back({vm.what, vm.leaving});
        }
        else if (vm.role == platform::vm_role::daemon) {
            daemons.daemons.push_back({vm.vm, {}, {}, {}, vm.what.domain, vm.what.where});
        }
    }
    handle(daemons);
    handle(membership::endpoints_changed{endpoints_.list(endpoints, clock_now())});
}

void member_service::report(const membership::endpoint_report& received_report)
{
    if (const auto change = endpoints_.report(received_report, clock_now())) {
        handle(membership::endpoints_changed{{*change}});
    }
}

void member_service::report_failure(const core::endpoint_id& endpoint)
{
    endpoints_.fail(endpoint, clock_now());
    publish();
}

void member_service::set_capacities(std::vector<membership::service_capacity> capacities)
{
    handle(membership::capacity_measured{std::move(capacities)});
}

void member_service::drain()
{
    handle(membership::drain_started{});
}

void member_service::tick()
{
    handle(membership::tick{});
}

core::instant member_service::next_wake()
{
    return gossip_.next_wake();
}

void member_service::send(const core::vm_id& to, const peer_wire::opaque_message& what)
{
    const auto members = members_.reachable();
    const auto found = std::ranges::find(members, to, &membership::member_entry::vm);
    if (found != members.end()) {
        node_->send(to_peer(found->where), peer_wire::encode(what));
    }
}

bool member_service::polls_list()
{
    const auto pollers = membership::list_pollers(domain_members());
    return std::ranges::find(pollers, members_.self().vm) != pollers.end();
}

std::vector<core::endpoint> member_service::watched()
{
    std::vector<core::endpoint> local_endpoints;
    endpoints_.for_each_present([&](const membership::endpoint_entry& entry) {
        if (entry.endpoint.domain == domain_) {
            local_endpoints.push_back(entry.endpoint);
        }
    });
    std::vector<core::endpoint_id> names;
    std::ranges::transform(local_endpoints, std::back_inserter(names), &core::endpoint::name);
    const auto chosen =
        membership::endpoints_to_poll(members_.self().vm, domain_members(), names, {});
    std::erase_if(local_endpoints, [&](const core::endpoint& one) {
        return std::ranges::find(chosen, one.name) == chosen.end();
    });
    return local_endpoints;
}

std::vector<membership::domain_summary> member_service::summaries()
{
    return gossip_.summaries(clock_now());
}

std::vector<core::vm_id> member_service::domain_members()
{
    std::vector<core::vm_id> names;
    std::ranges::transform(members_.reachable(), std::back_inserter(names),
                           &membership::member_entry::vm);
    return names;
}

void member_service::handle(const membership::event& happened)
{
    for (const auto& effect : gossip_.handle(happened, clock_now())) {
        std::visit([&](const auto& one) { carry_out(one); }, effect);
    }
    publish();
}

// At most one task is pending, so that many events cause only one new list.
void member_service::publish()
{
    if (!hooks_.on_endpoints || publish_due_.exchange(true)) {
        return;
    }
    boost::asio::post(publishing_, [this] {
        publish_due_ = false;
        auto usable = endpoints_.usable(clock_now());
        if (usable != published_) {
            published_ = std::move(usable);
            hooks_.on_endpoints(published_);
        }
    });
}

} // namespace ej::runtime
