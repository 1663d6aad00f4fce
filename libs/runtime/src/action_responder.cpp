#include "asio.h"

#include "action_responder.h"

#include <actions_wire/forward_codec.h>

#include <boost/asio/strand.hpp>

#include <chrono>

namespace ej::runtime {

void action_responder::answer(std::string_view payload, reply_function reply) const
{
    auto asked = actions_wire::decode_forwarded_call(payload);
    if (!asked.ok()) {
        shared_->metrics.count("dropped_messages_total", {{"reason", "malformed_forward"}});
        return;
    }
    short_call call;
    call.workspace = asked->workspace;
    call.work_class = class_of(asked->work_class, asked->service);
    call.key = asked->key;
    call.wanted = {asked->work_class, asked->path, asked->body};
    call.deadline = std::chrono::steady_clock::now() + asked->left;
    const auto running = [runner = runner_, call, nonce = asked->nonce,
                          reply = std::move(reply)]() -> asio::awaitable<void> {
        auto outcome = co_await runner->outcome_of(call, nonce);
        reply(actions_wire::encode(outcome));
    };
    asio::co_spawn(asio::make_strand(executor_), running, asio::detached);
}

// The class may have been deleted since the action was bound to this daemon; the action's record
// still decides the outcome.
core::work_class action_responder::class_of(const core::class_id& name,
                                            const core::service_id& service) const
{
    const auto classes = shared_->classes.load();
    const auto found = classes->find(name);
    if (found != classes->end()) {
        return found->second;
    }
    return {name, service, core::work_kind::non_idempotent, {}};
}

} // namespace ej::runtime
