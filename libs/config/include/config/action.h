#pragma once

#include <config/delete_class.h>
#include <config/delete_workspace.h>
#include <config/put_class.h>
#include <config/put_workspace.h>

#include <variant>

namespace ej::config {

/// What a change does to the one object that it names.
using action = std::variant<put_class, delete_class, put_workspace, delete_workspace>;

} // namespace ej::config
