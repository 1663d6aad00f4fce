#pragma once

#include <config/action.h>
#include <config/configuration.h>

#include <core/findings.h>

namespace ej::config {

/// Visitor of `action` that collects its faults.
struct action_validator {
    const configuration& before;
    core::findings& found;

    void operator()(const put_class& what) const;
    void operator()(const delete_class& what) const;
    void operator()(const put_workspace& what) const;
    void operator()(const delete_workspace& what) const;
};

} // namespace ej::config
