#pragma once

#include <sys/stat.h>

#include <compare>
#include <cstdint>
#include <string>

namespace ej {

/// Detects that a file was rewritten or replaced, by its modification time, size and inode.
class settings_file_watcher {
public:
    explicit settings_file_watcher(std::string path);

    /// True if the file has changed since the last call.
    bool changed();

private:
    struct stamp {
        std::int64_t seconds = 0;
        std::int64_t nanoseconds = 0;
        std::int64_t bytes = 0;
        std::uint64_t inode = 0;

        friend auto operator<=>(const stamp&, const stamp&) = default;
    };

    [[nodiscard]] stamp read_stamp() const;

    std::string path_;
    stamp last_stamp_;
};

} // namespace ej
