#pragma once

#include <config/action.h>
#include <config/configuration.h>

#include <core/revision.h>

namespace ej::config {

/// Visitor of `action` that returns the revision of the object it names.
struct object_revision {
    const configuration& in_force;

    core::revision operator()(const put_class& what) const;
    core::revision operator()(const delete_class& what) const;
    core::revision operator()(const put_workspace& what) const;
    core::revision operator()(const delete_workspace& what) const;
};

} // namespace ej::config
