#pragma once

#include "field_reader.h"
#include "json.h"

#include <config/workspace.h>

#include <core/work_class.h>

namespace ej::config_wire {

/// A class of work as a JSON object.
[[nodiscard]] json class_to_json(const core::work_class& value);

/// Reads a class; missing fields keep their values from `defaults`.
[[nodiscard]] core::work_class class_from_json(const field_reader& fields,
                                               const core::work_class& defaults);

/// A workspace as a JSON object.
[[nodiscard]] json workspace_to_json(const config::workspace& value);

/// Reads a workspace; missing fields keep their values from `defaults`.
[[nodiscard]] config::workspace workspace_from_json(const field_reader& fields,
                                                    const config::workspace& defaults);

} // namespace ej::config_wire
