#include "create_object.h"

#include "reply_text.h"

namespace ej::commands {

operator_reply create_object::run(const operator_client& daemon,
                                  const command_options& options) const
{
    return daemon.call("PUT", path_of(type_, options.name) + "?if_revision=0", type_.body(options));
}

std::string create_object::text(const operator_reply& reply) const
{
    return "created in " + revision_text(reply.body);
}

} // namespace ej::commands
