#include "pause.h"

#include "change_signal.h"

namespace ej::stand_ins {

boost::asio::awaitable<void> pause(std::chrono::duration<double> time)
{
    change_signal never;
    const auto now = std::chrono::steady_clock::now();
    co_await never.wait(
        0, now + std::chrono::duration_cast<std::chrono::steady_clock::duration>(time));
}

} // namespace ej::stand_ins
