#pragma once

#include "options.h"

#include <string>

namespace ej::stand_ins {

/// Enters a stand-in that serves on `where` in the platform's VM list; blocks until it is done.
/// Throws `boost::system::system_error` when the platform cannot be reached.
void register_vm(const options& settings, const core::address& where,
                 const std::string& incarnation);

} // namespace ej::stand_ins
