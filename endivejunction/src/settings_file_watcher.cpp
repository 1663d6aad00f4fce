#include "settings_file_watcher.h"

#include <utility>

namespace ej {

settings_file_watcher::settings_file_watcher(std::string path)
    : path_(std::move(path)), last_stamp_(read_stamp())
{
}

settings_file_watcher::stamp settings_file_watcher::read_stamp() const
{
    struct stat found{};
    if (path_.empty() || ::stat(path_.c_str(), &found) != 0) {
        return {}; // A file that is being replaced is detected at the next check.
    }
    return {found.st_mtim.tv_sec, found.st_mtim.tv_nsec, found.st_size, found.st_ino};
}

bool settings_file_watcher::changed()
{
    const auto now = read_stamp();
    return now != stamp{} && std::exchange(last_stamp_, now) != now;
}

} // namespace ej
