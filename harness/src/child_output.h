#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ej::harness {

/// Reads a pipe to its end on a thread of its own, so that the child process never blocks on a
/// full pipe.
class child_output {
public:
    /// Takes ownership of `descriptor`.
    explicit child_output(int descriptor);
    ~child_output();
    child_output(const child_output&) = delete;
    child_output& operator=(const child_output&) = delete;
    child_output(child_output&&) = delete;
    child_output& operator=(child_output&&) = delete;

    /// Waits for a line that begins with `prefix`; empty when the pipe ended without one.
    [[nodiscard]] std::optional<std::string> wait_for_line(const std::string& prefix);

private:
    void read_all();
    [[nodiscard]] std::optional<std::string> find(const std::string& prefix) const;

    int descriptor_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> lines_;
    bool ended_ = false;
    std::thread reader_; // Declared last: the thread uses the members above.
};

} // namespace ej::harness
