#include "asio.h"

#include "member_death_announcer.h"

#include <suspects_wire/death_codec.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace ej::runtime {

namespace {

// Allows several round trips between failure domains. The announcement is awaited because the
// caller's next request may reach any daemon.
constexpr std::chrono::milliseconds answer_bound{150};

peer_wire::opaque_message message_of(const suspects::death_record& record)
{
    const auto bytes = suspects_wire::encode(record);
    return {peer_wire::message_kind::death_record, std::string(bytes.begin(), bytes.end())};
}

std::set<core::address> receivers(member_service& members)
{
    std::set<core::address> found;
    const auto add = [&](const membership::member_entry& one) {
        if (one.state == membership::member_state::alive && one.where != members.address()) {
            found.insert(one.where);
        }
    };
    std::ranges::for_each(members.members(), add);
    for (const auto& summary : members.summaries()) {
        std::ranges::for_each(summary.bridges, add);
    }
    return found;
}

} // namespace

asio::awaitable<void> member_death_announcer::announce(suspects::death_record seen)
{
    struct wait_state {
        asio::steady_timer timer;
        std::size_t open;
    };
    const auto strand = co_await asio::this_coro::executor;
    const auto to = receivers(members_);
    const auto state = std::make_shared<wait_state>(
        wait_state{asio::steady_timer(strand, answer_bound), to.size()});
    for (const core::address& where : to) {
        const auto notify = [this, state, where,
                             what = message_of(seen)]() -> asio::awaitable<void> {
            // A daemon that does not answer is not retried; it gets the next death record.
            (void)co_await members_.request(where, what, answer_bound);
            if (--state->open == 0) {
                state->timer.cancel();
            }
        };
        asio::co_spawn(strand, notify, asio::detached);
    }
    if (!to.empty()) {
        boost::system::error_code error;
        co_await state->timer.async_wait(no_throw(error));
    }
}

void member_death_announcer::relay(const core::vm_id& from, const suspects::death_record& received)
{
    const auto members = members_.members();
    if (std::ranges::find(members, from, &membership::member_entry::vm) != members.end()) {
        return;
    }
    const auto what = message_of(received);
    std::ranges::for_each(
        members, [&](const membership::member_entry& one) { members_.send(one.vm, what); });
}

} // namespace ej::runtime
