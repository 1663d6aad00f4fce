#include "delete_object.h"

#include "reply_text.h"
#include "revision_lookup.h"

namespace ej::commands {

operator_reply delete_object::run(const operator_client& daemon,
                                  const command_options& options) const
{
    const std::string path = path_of(type_, options.name);
    const revision_lookup found = look_up_revision(daemon, path, options.if_revision);
    if (!found.revision) {
        return found.reply;
    }
    return daemon.call("DELETE", path + "?if_revision=" + std::to_string(*found.revision));
}

std::string delete_object::text(const operator_reply& reply) const
{
    return "deleted in " + revision_text(reply.body);
}

} // namespace ej::commands
