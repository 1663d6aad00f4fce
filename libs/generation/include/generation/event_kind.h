#pragma once

namespace ej::generation {

/// Events of a generation.
enum class event_kind {
    placed,    ///< An engine was chosen for the attempt.
    no_engine, ///< No engine is available for the attempt.
    rejected,  ///< The engine rejected the attempt and did not run it.
    opened,    ///< First line of the engine's stream: offset and digest of the text before it.
    tokens,    ///< Tokens, starting at an offset.
    finished,  ///< Last line of the engine's stream, with the total number of tokens.
    aborted,   ///< The engine ended the attempt without finishing it.
    closed,    ///< The connection was closed.
    silent,    ///< Nothing was received within the silence timeout.
    alive,     ///< Check result: the engine still has the attempt.
    attempt_not_found, ///< Check result: the engine is alive but does not have the attempt.
    unreachable,       ///< Check result: the engine does not answer.
    caller_gone        ///< The caller disconnected.
};

inline constexpr int event_kind_count = 13;

} // namespace ej::generation
