#pragma once

#include <config/history_digest.h>
#include <config/versioned.h>
#include <config/workspace.h>

#include <core/class_id.h>
#include <core/revision.h>
#include <core/work_class.h>
#include <core/workspace_id.h>

#include <map>
#include <memory>

namespace ej::config {

/// Classes of work and workspaces at one revision. Immutable; a copy shares the maps.
class configuration {
public:
    using class_map = std::map<core::class_id, versioned<core::work_class>>;
    using workspace_map = std::map<core::workspace_id, versioned<workspace>>;

    /// Revision 0, without any object.
    configuration();
    configuration(core::revision revision, history_digest history, class_map classes,
                  workspace_map workspaces);

    /// Number of changes made so far.
    [[nodiscard]] core::revision revision() const { return revision_; }

    /// Digest of the history of these changes.
    [[nodiscard]] history_digest history() const { return history_; }

    [[nodiscard]] const class_map& classes() const { return *classes_; }
    [[nodiscard]] const workspace_map& workspaces() const { return *workspaces_; }

    /// The same workspaces with other classes, at a later revision.
    [[nodiscard]] configuration with_classes(core::revision revision, history_digest history,
                                             class_map classes) const;

    /// The same classes with other workspaces, at a later revision.
    [[nodiscard]] configuration with_workspaces(core::revision revision, history_digest history,
                                                workspace_map workspaces) const;

    friend bool operator==(const configuration& left, const configuration& right);

private:
    configuration(core::revision revision, history_digest history,
                  std::shared_ptr<const class_map> classes,
                  std::shared_ptr<const workspace_map> workspaces);

    core::revision revision_;
    history_digest history_;
    std::shared_ptr<const class_map> classes_;
    std::shared_ptr<const workspace_map> workspaces_;
};

} // namespace ej::config
