#pragma once

#include <cstddef>

namespace ej::actions {

/// Events of a bucket writer.
enum class bucket_writer_event_kind {
    claim_wanted,   ///< Bind the claim `wanted`.
    call_due,       ///< The time requested by `schedule` was reached.
    read_answered,  ///< The store holds `bucket` at `revision`; 0 if it has no value.
    read_failed,    ///< The read got no answer.
    write_accepted, ///< The write took effect at `revision`.
    write_refused,  ///< Conflict: another write came first.
    write_failed    ///< The write got no answer; it may take effect now or later.
};

inline constexpr std::size_t bucket_writer_event_kind_count = 7;

} // namespace ej::actions
