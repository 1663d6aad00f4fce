#pragma once

#include "stream_result.h"

#include <harness/generation_call.h>

#include <core/address.h>

#include <atomic>
#include <cstdint>
#include <future>
#include <vector>

namespace ej::demo {

/// One generation that is read on a thread of its own and taken up again at the next daemon.
class stream_run {
public:
    /// Begins at the first of `daemons`.
    stream_run(std::string name, harness::generation_call call, std::vector<core::address> daemons);

    /// Waits until `tokens` have come or the stream has stopped.
    void wait_for(std::uint64_t tokens) const;

    /// Waits for the end.
    [[nodiscard]] stream_result finish() { return result_.get(); }

private:
    stream_result read();

    std::string name_;
    harness::generation_call call_;
    std::vector<core::address> daemons_;
    std::atomic<std::uint64_t> tokens_ = 0;
    std::future<stream_result> result_; // Last, so that it starts when all else is made.
};

} // namespace ej::demo
