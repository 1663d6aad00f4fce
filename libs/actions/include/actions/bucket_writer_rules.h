#pragma once

#include <actions/bucket_writer_event.h>
#include <actions/bucket_writer_transition.h>
#include <actions/claim_limits.h>

namespace ej::actions {

/// State machine of a bucket writer. It makes one call at a time, puts all waiting claims into one
/// write, and reads the bucket again after a lost answer. Stateless; thread-safe.
class bucket_writer_rules {
public:
    explicit bucket_writer_rules(const claim_limits& limits) : limits_(limits) {}

    /// Returns the writer and effects after `event`.
    [[nodiscard]] bucket_writer_transition apply(bucket_writer writer,
                                                 const bucket_writer_event& event) const;

private:
    struct table;

    [[nodiscard]] bucket_writer_transition ignore(bucket_writer writer,
                                                  const bucket_writer_event& event) const;
    [[nodiscard]] bucket_writer_transition start(bucket_writer writer,
                                                 const bucket_writer_event& event) const;
    [[nodiscard]] bucket_writer_transition enqueue(bucket_writer writer,
                                                   const bucket_writer_event& event) const;
    [[nodiscard]] bucket_writer_transition start_call(bucket_writer writer,
                                                      const bucket_writer_event& event) const;
    [[nodiscard]] bucket_writer_transition handle_read(bucket_writer writer,
                                                       const bucket_writer_event& event) const;
    [[nodiscard]] bucket_writer_transition accept(bucket_writer writer,
                                                  const bucket_writer_event& event) const;
    [[nodiscard]] bucket_writer_transition conflict(bucket_writer writer,
                                                    const bucket_writer_event& event) const;
    [[nodiscard]] bucket_writer_transition fail(bucket_writer writer,
                                                const bucket_writer_event& event) const;

    [[nodiscard]] bucket_writer_transition write(bucket_writer writer,
                                                 const bucket_writer_event& event) const;

    claim_limits limits_;
};

} // namespace ej::actions
