#pragma once

namespace ej::platform {

/// Outcome of a compare-and-swap.
enum class cas_outcome {
    applied,  ///< It took effect.
    conflict, ///< It has not taken and will not take effect: the key has another revision, or the
              ///< lease has lapsed.
    unknown   ///< No usable answer; it may have taken effect or may still do so.
};

} // namespace ej::platform
