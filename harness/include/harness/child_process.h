#pragma once

#include <absl/status/statusor.h>

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace ej::harness {

class child_output;

/// A child process. The destructor kills and reaps it.
class child_process {
public:
    /// Starts `program` with `arguments`. Error: Internal when the system cannot start it.
    static absl::StatusOr<std::unique_ptr<child_process>>
    start(const std::string& program, const std::vector<std::string>& arguments);

    /// Same as `start`, but appends the standard output to `file`; `wait_for_line` then always
    /// fails.
    static absl::StatusOr<std::unique_ptr<child_process>>
    start_logging(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& file);

    /// Kills every child process that is not reaped yet, without waiting for it. Thread-safe.
    static void kill_all();

    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// Waits for a line on the standard output that begins with `prefix`; returns the rest of it.
    /// Error: Unavailable when the process ended without printing such a line.
    [[nodiscard]] absl::StatusOr<std::string> wait_for_line(const std::string& prefix);

    /// Sends a signal such as SIGSTOP, SIGCONT or SIGTERM; does nothing after the process is
    /// reaped.
    void signal(int number);

    /// Process id.
    [[nodiscard]] pid_t id() const { return pid_; }

    /// True if the process has ended; reaps it then.
    [[nodiscard]] bool ended();

    /// Waits until the process has ended; returns its exit code, or 128 + signal number.
    int wait();

private:
    child_process(pid_t pid, std::unique_ptr<child_output> output);
    void record_exit(int status);

    pid_t pid_;
    bool reaped_ = false;
    int exit_code_ = 0;
    std::unique_ptr<child_output> output_;
};

} // namespace ej::harness
