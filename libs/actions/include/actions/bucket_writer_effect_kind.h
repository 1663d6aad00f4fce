#pragma once

namespace ej::actions {

/// Effects of a bucket writer.
enum class bucket_writer_effect_kind {
    schedule, ///< Report `call_due` at `not_before`.
    read,     ///< Read the bucket.
    write,    ///< Write `bucket` if the store still has `revision` (compare-and-swap).
    settle    ///< Report `verdict` to its action.
};

} // namespace ej::actions
