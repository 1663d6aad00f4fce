#pragma once

namespace ej::forwarding {

/// The end of a query to the store.
enum class store_result {
    complete,   ///< A usable answer.
    compacted,  ///< The store no longer has the changes asked for.
    too_large,  ///< The answer exceeds the size limit.
    late,       ///< No answer, or only a part of it, within the time allowed.
    unreachable ///< Not connected, refused, broken or unreadable.
};

} // namespace ej::forwarding
