#pragma once

#include "call_log.h"
#include "call_record.h"
#include "soak_fleet.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace ej::soak {

/// Callers that send requests continuously, each on its own thread, over new and reused
/// connections. New connections go only to daemons whose readiness check succeeds; a connection
/// is reused until the daemon closes it or the caller drops it at random.
class caller_pool {
public:
    /// `system` and `calls` must outlive the pool.
    caller_pool(const soak_fleet& system, call_log& calls, std::uint64_t seed);
    ~caller_pool();
    caller_pool(const caller_pool&) = delete;
    caller_pool& operator=(const caller_pool&) = delete;
    caller_pool(caller_pool&&) = delete;
    caller_pool& operator=(caller_pool&&) = delete;

    /// Stops sending and returns once all calls in flight are answered.
    void stop();

private:
    void poll_readiness();
    void run_caller(std::uint64_t seed, std::size_t number);

    const soak_fleet& system_;
    call_log& calls_;
    std::atomic<bool> ending_{false};
    std::vector<std::atomic<bool>> in_rotation_;
    std::vector<std::thread> threads_;
};

/// Sends one request to `daemon` on a new connection.
[[nodiscard]] call_record call_once(const soak_fleet& system, std::size_t daemon, call_kind kind,
                                    const std::string& id);

} // namespace ej::soak
