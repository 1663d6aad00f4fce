#pragma once

namespace ej::generation {

/// Phase of a generation.
enum class phase {
    placing,   ///< Needs an engine for the current attempt.
    opening,   ///< Waits for the engine's first line.
    streaming, ///< Receives tokens.
    checking,  ///< The connection is lost or silent; the engine is queried over a new one.
    ended
};

} // namespace ej::generation
