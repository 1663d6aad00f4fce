#pragma once

#include <thread>

namespace ej::demo {

/// Ends every started process and this one at SIGINT or SIGTERM. Made before other threads are.
class interrupt_guard {
public:
    interrupt_guard();
    ~interrupt_guard();
    interrupt_guard(const interrupt_guard&) = delete;
    interrupt_guard& operator=(const interrupt_guard&) = delete;
    interrupt_guard(interrupt_guard&&) = delete;
    interrupt_guard& operator=(interrupt_guard&&) = delete;

private:
    std::thread thread_;
};

} // namespace ej::demo
