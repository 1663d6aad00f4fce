#include "asio.h"

#include "member_service.h"

#include <peer_wire/codec.h>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <variant>

namespace ej::runtime {

namespace {

absl::StatusOr<std::string> to_status(const peer::call_result& result)
{
    switch (result.status) {
    case peer::call_status::answered:
        return result.payload;
    case peer::call_status::timed_out:
        return absl::DeadlineExceededError("peer did not answer in time");
    case peer::call_status::lost:
        return absl::AbortedError("connection to the peer was lost");
    case peer::call_status::unreachable:
        break;
    }
    return absl::UnavailableError("peer cannot be reached");
}

peer::peer_address to_peer(const core::address& address)
{
    return {address.host, address.port};
}

} // namespace

void member_service::carry_out(const membership::keep_peers& effect)
{
    std::set<peer::peer_address> kept;
    std::ranges::transform(effect.peers, std::inserter(kept, kept.end()), to_peer);
    node_->keep_connected(std::move(kept));
}

void member_service::carry_out(const membership::send_delta& effect)
{
    node_->send(to_peer(effect.to), peer_wire::encode(effect.body));
}

void member_service::carry_out(const membership::send_digest& effect)
{
    node_->send(to_peer(effect.to), peer_wire::encode(effect.table));
}

void member_service::receive(const peer::peer_identity& from, const std::string& payload)
{
    core::findings faults;
    auto message = peer_wire::parse_message(payload, faults);
    if (!message) {
        if (hooks_.on_dropped) {
            hooks_.on_dropped(faults.empty() ? "unknown_kind" : "malformed");
        }
        return;
    }
    const core::vm_id sender(from.name);
    if (auto* delta = std::get_if<membership::delta>(&*message)) {
        handle(membership::delta_received{sender, std::move(*delta)});
    }
    else if (const auto* table = std::get_if<membership::digest_table>(&*message)) {
        handle(membership::digest_received{sender, *table});
    }
    else if (hooks_.on_message) {
        hooks_.on_message(sender, std::get<peer_wire::opaque_message>(*message));
    }
}

// A malformed request gets no answer; it ends by the sender's timeout.
void member_service::receive_request(const peer::peer_identity& from, const std::string& payload,
                                     peer::peer_handlers::reply reply)
{
    core::findings faults;
    const auto message = peer_wire::parse_message(payload, faults);
    const auto* asked = message ? std::get_if<peer_wire::opaque_message>(&*message) : nullptr;
    if (asked != nullptr && hooks_.on_request) {
        hooks_.on_request(core::vm_id(from.name), *asked, std::move(reply));
    }
    else if (hooks_.on_dropped) {
        hooks_.on_dropped(faults.empty() ? "unknown_kind" : "malformed");
    }
}

asio::awaitable<absl::StatusOr<std::string>>
member_service::request(core::address to, peer_wire::opaque_message what,
                        std::chrono::milliseconds timeout)
{
    const auto payload = peer_wire::encode(what);
    const auto begin = [this, &to, &payload, timeout](auto handler) {
        const auto resume = std::make_shared<decltype(handler)>(std::move(handler));
        node_->request(to_peer(to), payload, timeout, [resume](peer::call_result result) {
            const auto executor = asio::get_associated_executor(*resume);
            asio::post(executor, [resume, result = std::move(result)] { (*resume)(result); });
        });
    };
    const auto result =
        co_await asio::async_initiate<decltype(asio::use_awaitable), void(peer::call_result)>(
            begin, asio::use_awaitable);
    co_return to_status(result);
}

} // namespace ej::runtime
