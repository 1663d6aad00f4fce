#pragma once

namespace ej::measure {

/// Where a request whose part has a death and no output runs alone before the part is held back.
enum class isolation { none, domain, fleet };

} // namespace ej::measure
