#pragma once

#include "services.h"
#include "short_call_runner.h"

#include <routing/placement.h>

#include <memory>

namespace ej::runtime {

/// Runs calls that may run again: tries other endpoints while the deadline allows.
class idempotent_runner final : public short_call_runner {
public:
    explicit idempotent_runner(std::shared_ptr<services> shared) : shared_(std::move(shared)) {}

    boost::asio::awaitable<http::response> run(short_call call) override;

private:
    boost::asio::awaitable<absl::StatusOr<http::response>> try_once(const short_call& call,
                                                                    routing::placement where);

    std::shared_ptr<services> shared_;
};

} // namespace ej::runtime
