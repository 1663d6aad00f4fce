#include <actions/ticket_issuer.h>

#include <utility>

namespace ej::actions {

ticket_issuer::ticket_issuer(owner self, std::chrono::milliseconds lifetime)
    : self_(std::move(self)), lifetime_(lifetime)
{
}

ticket ticket_issuer::issue(core::workspace_id workspace, core::class_id work,
                            std::chrono::milliseconds since_start)
{
    // Only the issuer checks expiry, so its monotonic clock suffices and no two clocks are
    // compared.
    return {std::move(workspace), std::move(work), self_, ticket_number(++last_),
            since_start + lifetime_};
}

bool ticket_issuer::issued(const ticket& candidate) const
{
    return candidate.issuer.incarnation == self_.incarnation;
}

} // namespace ej::actions
