#include <config/apply.h>

#include "action_applier.h"
#include "object_revision.h"

#include <variant>

namespace ej::config {

configuration apply(const configuration& before, const committed_change& next)
{
    const action_applier applier{before, next.revision, extend(before.history(), next.made.id)};
    return std::visit(applier, next.made.what);
}

core::revision revision_of(const configuration& in_force, const action& what)
{
    return std::visit(object_revision{in_force}, what);
}

} // namespace ej::config
