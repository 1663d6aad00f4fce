#include "interrupt_guard.h"

#include <harness/child_process.h>

#include <signal.h>

#include <cstdlib>

namespace ej::demo {

namespace {

constexpr int interrupted_exit_code = 130;

sigset_t watched_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    for (const int number : {SIGINT, SIGTERM, SIGUSR1}) {
        sigaddset(&signals, number);
    }
    return signals;
}

// The destructor sends SIGUSR1 to end this thread.
void wait_for_signal()
{
    const auto signals = watched_signals();
    int number = 0;
    sigwait(&signals, &number);
    if (number != SIGUSR1) {
        harness::child_process::kill_all();
        std::_Exit(interrupted_exit_code);
    }
}

} // namespace

interrupt_guard::interrupt_guard()
{
    const auto signals = watched_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    thread_ = std::thread(&wait_for_signal);
}

interrupt_guard::~interrupt_guard()
{
    pthread_kill(thread_.native_handle(), SIGUSR1);
    thread_.join();
}

} // namespace ej::demo
