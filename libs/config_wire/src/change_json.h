#pragma once

#include "field_reader.h"
#include "json.h"

#include <config/change_log.h>
#include <config/configuration.h>

namespace ej::config_wire {

/// The log as a JSON object.
[[nodiscard]] json change_log_to_json(const config::change_log& log);

/// Reads a log; reports a fault when its revisions are not consecutive.
[[nodiscard]] config::change_log change_log_from_json(const field_reader& fields);

/// The whole configuration as a JSON object.
[[nodiscard]] json configuration_to_json(const config::configuration& value);

/// Reads a whole configuration.
[[nodiscard]] config::configuration configuration_from_json(const field_reader& fields);

} // namespace ej::config_wire
