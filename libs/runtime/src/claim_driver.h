#pragma once

#include "claim_store.h"

#include <actions/claim_batcher.h>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace ej::runtime {

/// Carries out the effects of a `claim_batcher` on a store. Thread-safe.
class claim_driver : public std::enable_shared_from_this<claim_driver> {
public:
    using verdict_handler = std::function<void(const actions::claim_verdict&)>;

    claim_driver(boost::asio::any_io_executor executor, std::shared_ptr<claim_store> store,
                 const actions::claim_limits& limits);

    /// Sets the handler that is called with the verdict on each claim; must be called before the
    /// first `bind`.
    void on_verdict(verdict_handler handle) { on_verdict_ = std::move(handle); }

    /// Binds `wanted` with the next write of its bucket; the verdict goes to the handler.
    void bind(const actions::claim& wanted);

private:
    using bucket_number = actions::bucket_number;
    using handler = void (claim_driver::*)(bucket_number, const actions::bucket_writer_effect&);

    void apply(bucket_number bucket, actions::bucket_writer_event event);
    void schedule(bucket_number bucket, const actions::bucket_writer_effect& effect);
    void read(bucket_number bucket, const actions::bucket_writer_effect& effect);
    void write(bucket_number bucket, const actions::bucket_writer_effect& effect);
    void settle(bucket_number bucket, const actions::bucket_writer_effect& effect);

    boost::asio::any_io_executor executor_;
    std::shared_ptr<claim_store> store_;
    actions::claim_batcher batcher_;
    verdict_handler on_verdict_;
};

} // namespace ej::runtime
