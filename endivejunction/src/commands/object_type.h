#pragma once

#include "command_options.h"

#include <string>
#include <string_view>

namespace ej::commands {

/// Describes a kind of object to the commands.
struct object_type {
    std::string_view collection; ///< Path of all objects, such as "/classes".
    std::string_view list_field; ///< JSON field of a list reply that holds the objects.
    std::string (*body)(const command_options&); ///< The given fields as JSON.
};

/// Classes of work.
[[nodiscard]] const object_type& class_type();

/// Workspaces.
[[nodiscard]] const object_type& workspace_type();

/// The path of the object called `name`.
[[nodiscard]] std::string path_of(const object_type& type, const std::string& name);

} // namespace ej::commands
