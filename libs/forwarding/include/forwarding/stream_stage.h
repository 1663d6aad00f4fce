#pragma once

namespace ej::forwarding {

/// Stage of a streaming attempt at an engine.
enum class stream_stage {
    reading,  ///< The engine reads the prompt.
    resuming, ///< The engine continues from a copy of the request's memory.
    flowing   ///< Events are arriving.
};

} // namespace ej::forwarding
