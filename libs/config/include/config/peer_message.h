#pragma once

#include <config/change_request.h>
#include <config/configuration.h>
#include <config/revision_digest.h>
#include <config/tail.h>

#include <variant>

namespace ej::config {

/// A message about the configuration between daemons.
using peer_message = std::variant<revision_digest, change_request, tail, configuration>;

} // namespace ej::config
