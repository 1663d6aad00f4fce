#include <config/configuration.h>

#include <utility>

namespace ej::config {

configuration::configuration() : configuration({}, {}, class_map{}, workspace_map{}) {}

configuration::configuration(core::revision revision, history_digest history, class_map classes,
                             workspace_map workspaces)
    : configuration(revision, history, std::make_shared<const class_map>(std::move(classes)),
                    std::make_shared<const workspace_map>(std::move(workspaces)))
{
}

configuration::configuration(core::revision revision, history_digest history,
                             std::shared_ptr<const class_map> classes,
                             std::shared_ptr<const workspace_map> workspaces)
    : revision_(revision), history_(history), classes_(std::move(classes)),
      workspaces_(std::move(workspaces))
{
}

configuration configuration::with_classes(core::revision revision, history_digest history,
                                          class_map classes) const
{
    return {revision, history, std::make_shared<const class_map>(std::move(classes)), workspaces_};
}

configuration configuration::with_workspaces(core::revision revision, history_digest history,
                                             workspace_map workspaces) const
{
    return {revision, history, classes_,
            std::make_shared<const workspace_map>(std::move(workspaces))};
}

bool operator==(const configuration& left, const configuration& right)
{
    return left.revision_ == right.revision_ && left.history_ == right.history_ &&
           left.classes() == right.classes() && left.workspaces() == right.workspaces();
}

} // namespace ej::config
