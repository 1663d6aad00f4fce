#include "line_queue.h"

#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <optional>
#include <string_view>
#include <utility>

namespace ej::logging {

namespace {

// Holds several seconds of lines under load; small compared to a VM's memory.
constexpr std::size_t max_bytes = std::size_t{1} << 20;

// Lines queued within this time are written together: waking the thread for each line would cost
// more than writing it.
constexpr std::chrono::milliseconds batch_interval{100};

// A slow reader makes progress that shows within one write.
constexpr std::size_t max_write_bytes = std::size_t{4} << 10;

// The destructor gives up on a reader that has read nothing for this long.
constexpr std::chrono::milliseconds reader_patience{100};

/// Blocks SIGPIPE, so that a closed reader makes write() fail instead of ending the process.
void block_pipe_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Writes all of `text` and adds its bytes to `total` as they are written; false on a write error,
/// such as a closed reader.
bool write_all(int descriptor, std::string_view text, std::atomic<std::uint64_t>& total)
{
    while (!text.empty()) {
        const auto written =
            ::write(descriptor, text.data(), std::min(text.size(), max_write_bytes));
        if (written < 0 && errno != EINTR) {
            return false;
        }
        if (written > 0) {
            text.remove_prefix(static_cast<std::size_t>(written));
            total += static_cast<std::uint64_t>(written);
        }
    }
    return true;
}

} // namespace

line_queue::line_queue(int descriptor)
    : descriptor_(descriptor), state_(std::make_shared<state>()),
      thread_([descriptor, shared = state_] { write_lines(descriptor, *shared); })
{
}

line_queue::~line_queue()
{
    std::unique_lock lock(state_->mutex);
    state_->ending = true;
    state_->changed.notify_all();
    std::optional<std::uint64_t> before;
    while (!state_->finished && before != state_->written) {
        before = state_->written;
        state_->changed.wait_for(lock, reader_patience, [this] { return state_->finished; });
    }
    if (state_->finished) {
        lock.unlock();
        thread_.join();
        return;
    }
    // The thread is blocked in a write because the reader does not read; it is left running.
    thread_.detach();
}

void line_queue::push(std::string line)
{
    const std::scoped_lock lock(state_->mutex);
    if (state_->bytes + line.size() > max_bytes) {
        ++state_->dropped;
        return;
    }
    state_->bytes += line.size();
    state_->lines.push_back(std::move(line));
    if (state_->lines.size() == 1) {
        state_->changed.notify_one();
    }
}

std::uint64_t line_queue::dropped() const
{
    const std::scoped_lock lock(state_->mutex);
    return state_->dropped;
}

void line_queue::write_lines(int descriptor, state& shared)
{
    block_pipe_signal();
    std::unique_lock lock(shared.mutex);
    bool reader_open = true;
    while (reader_open) {
        shared.changed.wait(lock, [&] { return shared.ending || !shared.lines.empty(); });
        if (!shared.ending) {
            shared.changed.wait_for(lock, batch_interval, [&] { return shared.ending; });
        }
        if (shared.lines.empty()) {
            break;
        }
        const auto text = take_lines(shared);
        lock.unlock();
        reader_open = write_all(descriptor, text, shared.written);
        lock.lock();
    }
    shared.finished = true;
    shared.changed.notify_all();
}

std::string line_queue::take_lines(state& shared)
{
    std::string text;
    for (const std::string& line : std::exchange(shared.lines, {})) {
        text += line;
    }
    shared.bytes = 0;
    if (shared.reported_dropped != shared.dropped) {
        text += "log lines dropped total=" + std::to_string(shared.dropped) + "\n";
        shared.reported_dropped = shared.dropped;
    }
    return text;
}

} // namespace ej::logging
