#include "show_status.h"

#include "reply_text.h"

namespace ej::commands {

operator_reply show_status::run(const operator_client& daemon,
                                const command_options& /*options*/) const
{
    return daemon.call("GET", "/status");
}

std::string show_status::text(const operator_reply& reply) const
{
    return status_text(reply.body);
}

} // namespace ej::commands
