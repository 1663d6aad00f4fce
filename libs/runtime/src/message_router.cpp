#include "message_router.h"

#include <peer_wire/message_kind.h>

namespace ej::runtime {

using peer_wire::message_kind;

void message_router::connect(receivers parts)
{
    receivers_.store(std::move(parts));
}

void message_router::receive(const core::vm_id& from,
                             const peer_wire::opaque_message& message) const
{
    const auto to = receivers_.load();
    const bool of_config =
        message.kind == message_kind::config_delta || message.kind == message_kind::config_digest;
    if (of_config && to->config != nullptr) {
        // A malformed message is dropped; the next digest makes up for it.
        (void)to->config->receive(from, message.payload);
    }
    if (message.kind == message_kind::death_record && to->deaths != nullptr) {
        to->deaths->receive(from, message.payload);
    }
}

void message_router::receive_request(const core::vm_id& from,
                                     const peer_wire::opaque_message& message,
                                     member_hooks::reply_function reply) const
{
    const auto to = receivers_.load();
    if (message.kind == message_kind::action_forward && to->actions != nullptr) {
        to->actions->answer(message.payload, std::move(reply));
    }
    else if (message.kind == message_kind::death_record && to->deaths != nullptr) {
        to->deaths->receive(from, message.payload);
        reply({});
    }
}

} // namespace ej::runtime
