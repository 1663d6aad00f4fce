#pragma once

namespace ej::lease {

/// How a call to the platform ended.
enum class answer_kind {
    done,    ///< It took effect.
    refused, ///< It took no effect: another lease has the key, it is absent, or the lease expired.
    lost     ///< No answer; it may have taken effect.
};

} // namespace ej::lease
