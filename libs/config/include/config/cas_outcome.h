#pragma once

namespace ej::config {

/// Outcome of a compare-and-swap, as far as its caller knows.
enum class cas_outcome {
    applied,  ///< It took effect.
    conflict, ///< It did not take effect: the key has another revision.
    unknown   ///< No answer; it may have taken effect or may still do so.
};

} // namespace ej::config
