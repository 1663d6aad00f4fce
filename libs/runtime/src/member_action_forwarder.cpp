#include "asio.h"

#include "member_action_forwarder.h"

#include <actions_wire/forward_codec.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ej::runtime {

namespace {

std::chrono::milliseconds left_until(core::instant deadline)
{
    const auto left = deadline - std::chrono::steady_clock::now();
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::duration_cast<std::chrono::milliseconds>(left));
}

} // namespace

asio::awaitable<actions::action_outcome>
member_action_forwarder::forward(actions::owner to, actions::claim_nonce nonce, short_call call)
{
    const auto left = left_until(call.deadline);
    const actions_wire::forwarded_call asked{call.workspace,
                                             call.work_class.name,
                                             call.work_class.service,
                                             call.key,
                                             call.wanted.path,
                                             call.wanted.body,
                                             nonce,
                                             left};
    peer_wire::opaque_message message{peer_wire::message_kind::action_forward,
                                      actions_wire::encode(asked)};
    auto answer = co_await members_.request(to.peer, std::move(message), left);
    if (!answer.ok()) {
        co_return actions::unknown(actions::unknown_reason::owner_unreachable);
    }
    auto outcome = actions_wire::decode_outcome(*answer);
    if (!outcome.ok()) {
        co_return actions::unknown(actions::unknown_reason::owner_unreachable);
    }
    co_return *std::move(outcome);
}

} // namespace ej::runtime
