#pragma once

#include "record.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A daemon as a process, started with the command of the deploy file.
class entry_daemon {
public:
    /// `folder`: for its settings and log.
    entry_daemon(std::string name, std::string zone, int store_port, int memory_mb,
                 const std::string& folder, record& log);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;
    entry_daemon(entry_daemon&&) = delete;
    entry_daemon& operator=(entry_daemon&&) = delete;

    void start();
    void signal(int number) const;

    /// Waits until the process has ended, and kills it after `most`.
    void wait_for_end(milliseconds most);

    /// True if the process runs.
    [[nodiscard]] bool running();

    /// True if the daemon says that it is ready.
    [[nodiscard]] bool ready() const;

    /// Waits until the daemon says that it is ready.
    bool wait_ready(milliseconds most) const;

    /// Resident memory of the process in MB.
    [[nodiscard]] double memory_mb() const;

    [[nodiscard]] int front() const { return front_; }
    [[nodiscard]] const std::string& name() const { return name_; }

private:
    std::string name_;
    std::string folder_;
    record& log_;
    int front_;
    int ready_;
    pid_t process_ = -1;
    std::vector<std::string> command_;
};

} // namespace review
