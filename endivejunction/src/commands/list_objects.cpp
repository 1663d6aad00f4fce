#include "list_objects.h"

#include "reply_text.h"

namespace ej::commands {

operator_reply list_objects::run(const operator_client& daemon,
                                 const command_options& /*options*/) const
{
    return daemon.call("GET", std::string(type_.collection));
}

std::string list_objects::text(const operator_reply& reply) const
{
    return lines_text(reply.body, std::string(type_.list_field));
}

} // namespace ej::commands
