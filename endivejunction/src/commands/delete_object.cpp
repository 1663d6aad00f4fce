#include "delete_object.h"

#include "reply_text.h"
#include "seen_revision.h"

namespace ej::commands {

operator_reply delete_object::run(const operator_client& daemon,
                                  const command_options& options) const
{
    const std::string path = path_of(type_, options.name);
    const seen_revision seen = look_up(daemon, path, options.if_revision);
    if (!seen.revision) {
        return seen.reply;
    }
    return daemon.call("DELETE", path + "?if_revision=" + std::to_string(*seen.revision));
}

std::string delete_object::text(const operator_reply& reply) const
{
    return "deleted in " + revision_text(reply.body);
}

} // namespace ej::commands
