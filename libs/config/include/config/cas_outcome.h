#pragma once

namespace ej::config {

/// What is known of a compare-and-swap.
enum class cas_outcome {
    applied,  ///< It took effect.
    conflict, ///< It did not: the key has another revision.
    unknown   ///< No answer; it may have taken effect or may still do so.
};

} // namespace ej::config
