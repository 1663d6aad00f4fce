#pragma once

#include "options.h"

#include <string>

namespace ej::stand_ins {

/// Adds the stand-in that listens on `where` to the platform's VM list. Blocks until the platform
/// has replied.
/// Throws `boost::system::system_error` when the platform cannot be reached.
void register_vm(const options& settings, const core::address& where,
                 const std::string& incarnation);

} // namespace ej::stand_ins
