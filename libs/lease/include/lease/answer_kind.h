#pragma once

namespace ej::lease {

/// How a call to the platform ended.
enum class answer_kind {
    done,    ///< It took effect.
    refused, ///< It took no effect: the key is another's or absent, or the lease has lapsed.
    lost     ///< No answer; it may have taken effect.
};

} // namespace ej::lease
