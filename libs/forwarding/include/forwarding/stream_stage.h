#pragma once

namespace ej::forwarding {

/// What an attempt at an engine is doing.
enum class stream_stage {
    reading,  ///< The engine reads the prompt.
    resuming, ///< The engine goes on from a copy of the request's memory.
    flowing   ///< Events come.
};

} // namespace ej::forwarding
