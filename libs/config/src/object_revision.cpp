#include "object_revision.h"

namespace ej::config {

namespace {

template <class Map, class Key>
core::revision revision_in(const Map& objects, const Key& name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? core::revision() : found->second.changed;
}

} // namespace

core::revision object_revision::operator()(const put_class& what) const
{
    return revision_in(in_force.classes(), what.value.name);
}

core::revision object_revision::operator()(const delete_class& what) const
{
    return revision_in(in_force.classes(), what.name);
}

core::revision object_revision::operator()(const put_workspace& what) const
{
    return revision_in(in_force.workspaces(), what.value.name);
}

core::revision object_revision::operator()(const delete_workspace& what) const
{
    return revision_in(in_force.workspaces(), what.name);
}

} // namespace ej::config
