#pragma once

#include <config/action.h>
#include <config/configuration.h>

#include <core/revision.h>

namespace ej::config {

/// Visitor of `action` that applies it to a configuration.
struct action_applier {
    const configuration& before;
    core::revision revision;
    history_digest history;

    configuration operator()(const put_class& what) const;
    configuration operator()(const delete_class& what) const;
    configuration operator()(const put_workspace& what) const;
    configuration operator()(const delete_workspace& what) const;
};

} // namespace ej::config
