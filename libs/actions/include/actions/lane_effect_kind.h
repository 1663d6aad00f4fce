#pragma once

namespace ej::actions {

/// What a claim bucket's writer asks for.
enum class lane_effect_kind {
    schedule, ///< Report `turn_came` at `not_before`.
    read,     ///< Read the bucket.
    write,    ///< Write `bucket` if the store still has `revision`.
    settle    ///< Report `verdict` to its action.
};

} // namespace ej::actions
