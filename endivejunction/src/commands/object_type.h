#pragma once

#include "command_options.h"

#include <string>
#include <string_view>

namespace ej::commands {

/// What the commands need to know of a kind of object.
struct object_type {
    std::string_view collection;                 ///< Path of all objects, such as "/classes".
    std::string_view list_field;                 ///< Where a list holds them.
    std::string (*body)(const command_options&); ///< The fields given, as JSON.
};

/// Classes of work.
[[nodiscard]] const object_type& class_type();

/// Workspaces.
[[nodiscard]] const object_type& workspace_type();

/// The path of the object called `name`.
[[nodiscard]] std::string path_of(const object_type& type, const std::string& name);

} // namespace ej::commands
