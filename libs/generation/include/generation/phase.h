#pragma once

namespace ej::generation {

/// Where a generation stands.
enum class phase {
    placing,   ///< Needs an engine for the current attempt.
    opening,   ///< Waits for the engine's first line.
    streaming, ///< Tokens flow.
    checking,  ///< The connection is lost or silent; the engine is asked over a new one.
    ended
};

} // namespace ej::generation
