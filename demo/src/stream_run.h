#pragma once

#include "stream_result.h"

#include <harness/generation_call.h>

#include <core/address.h>

#include <atomic>
#include <cstdint>
#include <future>
#include <vector>

namespace ej::demo {

/// A generation that is read on a thread of its own and, when its stream breaks, resumed at the
/// next daemon.
class stream_run {
public:
    /// Starts at the first of `daemons`.
    stream_run(std::string name, harness::generation_call call, std::vector<core::address> daemons);

    /// Waits until `tokens` tokens are received or the stream has stopped.
    void wait_for(std::uint64_t tokens) const;

    /// Waits until the stream has stopped.
    [[nodiscard]] stream_result finish() { return result_.get(); }

private:
    stream_result read();

    std::string name_;
    harness::generation_call call_;
    std::vector<core::address> daemons_;
    std::atomic<std::uint64_t> tokens_ = 0;
    std::future<stream_result> result_; // Declared last: the thread uses the members above.
};

} // namespace ej::demo
