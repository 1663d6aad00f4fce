#include <harness/child_process.h>

#include "child_output.h"

#include <concurrency/sharded.h>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <optional>
#include <system_error>
#include <utility>

namespace ej::harness {

namespace {

constexpr int signal_exit_base = 128;
constexpr int log_mode = 0644;

// Processes that are not reaped yet, for `kill_all`.
concurrency::sharded<pid_t, bool>& running()
{
    static concurrency::sharded<pid_t, bool> pids;
    return pids;
}

std::vector<char*> pointers_to(std::vector<std::string>& texts)
{
    std::vector<char*> pointers;
    std::ranges::transform(texts, std::back_inserter(pointers),
                           [](std::string& text) { return text.data(); });
    pointers.push_back(nullptr);
    return pointers;
}

// Standard error is appended to the file named by EJ_CHILD_LOG, to diagnose a failed test.
std::string error_file()
{
    const char* const file = std::getenv("EJ_CHILD_LOG");
    return file == nullptr ? "/dev/null" : file;
}

absl::StatusOr<pid_t> spawn(const std::string& program, const std::vector<std::string>& arguments,
                            int output)
{
    std::vector<std::string> command{program};
    command.insert(command.end(), arguments.begin(), arguments.end());
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, error_file().c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    const auto pointers = pointers_to(command);
    pid_t pid = 0;
    const int error =
        ::posix_spawn(&pid, command.front().c_str(), &actions, nullptr, pointers.data(), ::environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        return absl::InternalError(program + ": " + std::generic_category().message(error));
    }
    return pid;
}

} // namespace

absl::StatusOr<std::unique_ptr<child_process>>
child_process::start(const std::string& program, const std::vector<std::string>& arguments)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
        return absl::InternalError(std::generic_category().message(errno));
    }
    const auto pid = spawn(program, arguments, ends[1]);
    ::close(ends[1]);
    if (!pid.ok()) {
        ::close(ends[0]);
        return pid.status();
    }
    return std::unique_ptr<child_process>(
        new child_process(*pid, std::make_unique<child_output>(ends[0])));
}

absl::StatusOr<std::unique_ptr<child_process>>
child_process::start_logging(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& file)
{
    const int output = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode);
    if (output < 0) {
        return absl::InternalError(file + ": " + std::generic_category().message(errno));
    }
    const auto pid = spawn(program, arguments, output);
    ::close(output);
    if (!pid.ok()) {
        return pid.status();
    }
    return std::unique_ptr<child_process>(new child_process(*pid, nullptr));
}

child_process::child_process(pid_t pid, std::unique_ptr<child_output> output)
    : pid_(pid), output_(std::move(output))
{
    running().with(pid, [pid](auto& pids) { pids.emplace(pid, true); });
}

void child_process::kill_all()
{
    running().for_each_shard([](const auto& pids) {
        for (const auto& [pid, started] : pids) {
            ::kill(pid, SIGKILL);
        }
    });
}

child_process::~child_process()
{
    signal(SIGKILL);
    wait();
}

absl::StatusOr<std::string> child_process::wait_for_line(const std::string& prefix)
{
    auto line = output_ == nullptr ? std::nullopt : output_->wait_for_line(prefix);
    if (!line) {
        return absl::UnavailableError("the process ended before it printed '" + prefix + "'");
    }
    return *std::move(line);
}

void child_process::signal(int number)
{
    if (!reaped_) {
        ::kill(pid_, number);
    }
}

bool child_process::ended()
{
    int status = 0;
    if (!reaped_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        record_exit(status);
    }
    return reaped_;
}

int child_process::wait()
{
    int status = 0;
    if (!reaped_ && ::waitpid(pid_, &status, 0) == pid_) {
        record_exit(status);
    }
    return exit_code_;
}

void child_process::record_exit(int status)
{
    reaped_ = true;
    running().with(pid_, [this](auto& pids) { pids.erase(pid_); });
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
}

} // namespace ej::harness
