#pragma once

namespace ej::forwarding {

/// Stage of a streaming attempt at an engine.
enum class stream_stage {
    reading_prompt, ///< The engine reads the prompt.
    resuming,       ///< The engine continues from a copy of the request's memory.
    streaming       ///< Events are arriving.
};

} // namespace ej::forwarding
