#include "message_router.h"

#include <peer_wire/message_kind.h>

namespace ej::runtime {

using peer_wire::message_kind;

void message_router::connect(receivers parts)
{
    receivers_.store(std::move(parts));
}

void message_router::receive(const core::vm_id& from, const peer_wire::opaque_message& what) const
{
    const auto to = receivers_.load();
    const bool of_config =
        what.kind == message_kind::config_delta || what.kind == message_kind::config_digest;
    if (of_config && to->config != nullptr) {
        // What can't be read is dropped; the next digest brings it again.
        (void)to->config->receive(from, what.payload);
    }
    if (what.kind == message_kind::death_record && to->deaths != nullptr) {
        to->deaths->receive(from, what.payload);
    }
}

void message_router::receive_request(const core::vm_id& from, const peer_wire::opaque_message& what,
                                     member_hooks::reply_function reply) const
{
    const auto to = receivers_.load();
    if (what.kind == message_kind::action_forward && to->actions != nullptr) {
        to->actions->answer(what.payload, std::move(reply));
    }
    else if (what.kind == message_kind::death_record && to->deaths != nullptr) {
        to->deaths->receive(from, what.payload);
        reply({});
    }
}

} // namespace ej::runtime
