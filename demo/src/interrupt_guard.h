#pragma once

#include <thread>

namespace ej::demo {

/// Kills every child process and exits at SIGINT or SIGTERM. Construct it before any other thread
/// starts, so that all threads inherit the signal mask.
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
