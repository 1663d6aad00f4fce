#pragma once

#include <signal.h>

namespace ej::forward_tests {

/// While it exists, SIGUSR1 interrupts system calls and has no other effect.
class interrupting_signal {
public:
    interrupting_signal()
    {
        struct sigaction chosen{};
        chosen.sa_handler = [](int) {};
        ::sigaction(SIGUSR1, &chosen, &previous_);
    }
    ~interrupting_signal() { ::sigaction(SIGUSR1, &previous_, nullptr); }
    interrupting_signal(const interrupting_signal&) = delete;
    interrupting_signal& operator=(const interrupting_signal&) = delete;
    interrupting_signal(interrupting_signal&&) = delete;
    interrupting_signal& operator=(interrupting_signal&&) = delete;

private:
    struct sigaction previous_{};
};

} // namespace ej::forward_tests
