#pragma once

#include <actions/bucket_writer_rules.h>

#include <array>

namespace ej::actions {

/// The handler of each event in each phase.
struct bucket_writer_rules::table {
    using handler = bucket_writer_transition (bucket_writer_rules::*)(
        bucket_writer, const bucket_writer_event&) const;
    using row = std::array<handler, bucket_writer_event_kind_count>;

    /// Rows in the order of `bucket_writer_phase`, columns in the order of
    /// `bucket_writer_event_kind`.
    static const std::array<row, bucket_writer_phase_count> rows;
};

} // namespace ej::actions
