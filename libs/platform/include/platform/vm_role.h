#pragma once

namespace ej::platform {

/// The program that a VM of the platform's list runs.
enum class vm_role { daemon, engine, application, other };

} // namespace ej::platform
