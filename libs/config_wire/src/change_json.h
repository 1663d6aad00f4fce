#pragma once

#include "field_reader.h"
#include "json.h"

#include <config/configuration.h>
#include <config/tail.h>

namespace ej::config_wire {

/// The log as a JSON object.
[[nodiscard]] json tail_to_json(const config::tail& log);

/// Reads a log; a fault when its revisions do not follow each other.
[[nodiscard]] config::tail tail_from_json(const field_reader& fields);

/// The whole configuration as a JSON object.
[[nodiscard]] json configuration_to_json(const config::configuration& value);

/// Reads a whole configuration.
[[nodiscard]] config::configuration configuration_from_json(const field_reader& fields);

} // namespace ej::config_wire
