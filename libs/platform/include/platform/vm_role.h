#pragma once

namespace ej::platform {

/// What runs on a VM of the list.
enum class vm_role { daemon, engine, application, other };

} // namespace ej::platform
