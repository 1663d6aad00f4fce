#pragma once

#include "soak_fleet.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <thread>

namespace ej::soak {

/// Clients outside the limits beside the callers: crowds that send unfinished bodies or requests
/// ahead to one daemon after the other and read nothing. Runs until it is destroyed.
class crowd_pool {
public:
    /// `system` must outlive the pool. Without `active` there are no crowds.
    crowd_pool(const soak_fleet& system, bool active, std::uint64_t seed);
    ~crowd_pool();
    crowd_pool(const crowd_pool&) = delete;
    crowd_pool& operator=(const crowd_pool&) = delete;
    crowd_pool(crowd_pool&&) = delete;
    crowd_pool& operator=(crowd_pool&&) = delete;

private:
    void run(std::uint64_t seed);
    void press(std::size_t daemon, std::size_t script) const;

    const soak_fleet& system_;
    std::atomic<bool> ending_{false};
    std::thread thread_;
};

} // namespace ej::soak
