#pragma once

#include <config/change_log.h>
#include <config/change_request.h>
#include <config/configuration.h>
#include <config/revision_digest.h>

#include <variant>

namespace ej::config {

/// A message about the configuration between daemons.
using peer_message = std::variant<revision_digest, change_request, change_log, configuration>;

} // namespace ej::config
