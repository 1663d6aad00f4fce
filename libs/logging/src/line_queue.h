#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace ej::logging {

/// Writes lines to a file descriptor in a separate thread. A slow reader never delays the caller:
/// lines that exceed the queue's size limit are dropped and counted, and the count is written as a
/// separate line with the next lines. Thread-safe.
class line_queue {
public:
    explicit line_queue(int descriptor);

    /// Writes the queued lines, unless the reader stops reading.
    ~line_queue();
    line_queue(const line_queue&) = delete;
    line_queue& operator=(const line_queue&) = delete;
    line_queue(line_queue&&) = delete;
    line_queue& operator=(line_queue&&) = delete;

    /// Queues a line that ends with a newline, or drops it.
    void push(std::string line);

    /// Lines dropped so far.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    // Shared with the thread, which may outlive the queue while it is blocked in a write.
    struct state {
        std::mutex mutex;
        std::condition_variable changed;
        std::deque<std::string> lines;
        std::size_t bytes = 0;
        std::uint64_t dropped = 0;
        std::uint64_t reported_dropped = 0;    // Value of `dropped` last written.
        std::atomic<std::uint64_t> written{0}; // Bytes accepted by the descriptor.
        bool ending = false;
        bool finished = false; // The thread writes no more lines.
    };

    static void write_lines(int descriptor, state& shared);
    static std::string take_lines(state& shared);

    int descriptor_;
    std::shared_ptr<state> state_;
    std::thread thread_;
};

} // namespace ej::logging
