#pragma once

namespace ej::generation {

/// What happened to a generation.
enum class event_kind {
    placed,      ///< An engine was chosen for the attempt.
    unplaceable, ///< No engine takes the attempt.
    rejected,    ///< The engine did not take the attempt; it did not run there.
    opened,      ///< The engine's first line: offset and digest of the text before it.
    tokens,      ///< Tokens from an offset on.
    finished,    ///< The engine's last line, with the total of tokens.
    aborted,     ///< The engine ended the attempt without finishing it.
    closed,      ///< The connection broke.
    silent,      ///< Nothing came within the silence bound.
    alive,       ///< Asked: the engine still has the attempt.
    forgotten,   ///< Asked: the engine lives and has not got the attempt.
    unreachable, ///< Asked: the engine does not answer.
    caller_gone  ///< The caller left.
};

inline constexpr int event_kind_count = 13;

} // namespace ej::generation
