#pragma once

#include "json.h"
#include "object_json.h"

#include <config/action.h>

namespace ej::config_wire {

/// Visitor of `config::action` that adds the action to `target` as a field named for its kind.
struct action_to_json {
    json& target;

    void operator()(const config::put_class& action) const
    {
        target["put_class"] = class_to_json(action.value);
    }
    void operator()(const config::delete_class& action) const
    {
        target["delete_class"] = action.name.text();
    }
    void operator()(const config::put_workspace& action) const
    {
        target["put_workspace"] = workspace_to_json(action.value);
    }
    void operator()(const config::delete_workspace& action) const
    {
        target["delete_workspace"] = action.name.text();
    }
};

} // namespace ej::config_wire
