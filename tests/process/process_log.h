#pragma once

#include <core/address.h>

#include <filesystem>
#include <string>

namespace ej::process_tests {

/// The log file of a daemon process; removed at the end.
class process_log {
public:
    process_log();
    ~process_log();
    process_log(const process_log&) = delete;
    process_log& operator=(const process_log&) = delete;
    process_log(process_log&&) = delete;
    process_log& operator=(process_log&&) = delete;

    [[nodiscard]] std::string path() const { return path_.string(); }

    [[nodiscard]] bool has(const std::string& part) const;

    /// The address that the line "started" gives for `name`; throws without one.
    [[nodiscard]] core::address address(const std::string& name) const;

private:
    [[nodiscard]] std::string text() const;

    std::filesystem::path path_;
};

} // namespace ej::process_tests
