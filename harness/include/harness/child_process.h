#pragma once

#include <absl/status/statusor.h>

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace ej::harness {

class child_output;

/// A started program. It is killed and reaped at destruction.
class child_process {
public:
    /// Starts `program` with `arguments`. Error: Internal when the system refuses.
    static absl::StatusOr<std::unique_ptr<child_process>>
    start(const std::string& program, const std::vector<std::string>& arguments);

    /// The same with the standard output appended to `file`; `wait_for_line` finds nothing.
    static absl::StatusOr<std::unique_ptr<child_process>>
    start_logging(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& file);

    /// Kills every started program that is not reaped yet, without waiting. Thread-safe.
    static void kill_all();

    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// Waits for a line on the standard output that begins with `prefix` and returns the rest.
    /// Error: Unavailable when the program ended without it.
    [[nodiscard]] absl::StatusOr<std::string> wait_for_line(const std::string& prefix);

    /// Sends a signal, as SIGSTOP, SIGCONT or SIGTERM; nothing once it was reaped.
    void signal(int number);

    /// The process' number in the system.
    [[nodiscard]] pid_t id() const { return pid_; }

    /// True if it has ended by now.
    [[nodiscard]] bool ended();

    /// Waits until it has ended and returns its exit code, or 128 and the signal's number.
    int wait();

private:
    child_process(pid_t pid, std::unique_ptr<child_output> output);
    void reaped(int status);

    pid_t pid_;
    bool reaped_ = false;
    int exit_code_ = 0;
    std::unique_ptr<child_output> output_;
};

} // namespace ej::harness
