#pragma once

#include <actions/bucket_number.h>
#include <actions/bucket_writer_event.h>
#include <actions/claim_bucket.h>

#include <core/revision.h>

#include <boost/asio/awaitable.hpp>

namespace ej::runtime {

/// Storage of claim buckets. Thread-safe. Each call returns the event to report to the batcher; its
/// times are not set.
class claim_store {
public:
    claim_store() = default;
    virtual ~claim_store() = default;
    claim_store(const claim_store&) = delete;
    claim_store& operator=(const claim_store&) = delete;
    claim_store(claim_store&&) = delete;
    claim_store& operator=(claim_store&&) = delete;

    /// Returns `read_answered` or `read_failed`.
    virtual boost::asio::awaitable<actions::bucket_writer_event>
    read(actions::bucket_number bucket) = 0;

    /// Returns `write_accepted`, `write_refused` or `write_failed`.
    virtual boost::asio::awaitable<actions::bucket_writer_event>
    write(actions::bucket_number bucket, actions::claim_bucket value, core::revision expected) = 0;
};

} // namespace ej::runtime
