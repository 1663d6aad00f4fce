#include "action_applier.h"

#include <utility>

namespace ej::config {

configuration action_applier::operator()(const put_class& what) const
{
    auto classes = before.classes();
    classes[what.value.name] = {what.value, revision};
    return before.with_classes(revision, history, std::move(classes));
}

configuration action_applier::operator()(const delete_class& what) const
{
    auto classes = before.classes();
    classes.erase(what.name);
    return before.with_classes(revision, history, std::move(classes));
}

configuration action_applier::operator()(const put_workspace& what) const
{
    auto workspaces = before.workspaces();
    workspaces[what.value.name] = {what.value, revision};
    return before.with_workspaces(revision, history, std::move(workspaces));
}

configuration action_applier::operator()(const delete_workspace& what) const
{
    auto workspaces = before.workspaces();
    workspaces.erase(what.name);
    return before.with_workspaces(revision, history, std::move(workspaces));
}

} // namespace ej::config
