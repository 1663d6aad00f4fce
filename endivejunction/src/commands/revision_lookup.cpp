#include "revision_lookup.h"

#include "reply_text.h"

namespace ej::commands {

revision_lookup look_up_revision(const operator_client& daemon, const std::string& path,
                                 std::optional<std::uint64_t> given)
{
    constexpr unsigned status_ok = 200;
    constexpr unsigned status_unavailable = 503;
    if (given) {
        return {given, {}};
    }
    operator_reply reply = daemon.call("GET", path);
    if (reply.status == status_ok) {
        return {revision_of(reply.body), std::move(reply)};
    }
    if (reply.status == 0) {
        // Only a read was sent, so nothing can have been changed.
        reply.status = status_unavailable;
    }
    return {std::nullopt, std::move(reply)};
}

} // namespace ej::commands
