#pragma once

namespace ej::platform {

/// What is known of a compare-and-swap.
enum class cas_outcome {
    applied,  ///< It took effect.
    conflict, ///< It did not and will not: the key has another revision, or the lease has lapsed.
    unknown   ///< No usable answer; it may have taken effect or may still do so.
};

} // namespace ej::platform
