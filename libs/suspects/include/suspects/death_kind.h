#pragma once

namespace ej::suspects {

/// How a request ran at an endpoint that died, from the strongest evidence against it.
enum class death_kind {
    alone,       ///< No other request can have caused the death.
    shared,      ///< Without output, as were others.
    after_output ///< After output, and not alone.
};

} // namespace ej::suspects
