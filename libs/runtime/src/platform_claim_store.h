#pragma once

#include "claim_store.h"

#include <platform/client.h>

#include <memory>

namespace ej::runtime {

/// Keeps claim buckets in the platform's key-value service. Thread-safe.
class platform_claim_store final : public claim_store {
public:
    explicit platform_claim_store(std::shared_ptr<platform::client> platform)
        : platform_(std::move(platform))
    {
    }

    boost::asio::awaitable<actions::bucket_writer_event>
    read(actions::bucket_number bucket) override;
    boost::asio::awaitable<actions::bucket_writer_event> write(actions::bucket_number bucket,
                                                               actions::claim_bucket value,
                                                               core::revision expected) override;

private:
    std::shared_ptr<platform::client> platform_;
};

} // namespace ej::runtime
