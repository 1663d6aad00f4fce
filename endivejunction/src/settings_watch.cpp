#include "settings_watch.h"

#include <utility>

namespace ej {

settings_watch::settings_watch(std::string path) : path_(std::move(path)), seen_(look()) {}

settings_watch::stamp settings_watch::look() const
{
    struct stat found{};
    if (path_.empty() || ::stat(path_.c_str(), &found) != 0) {
        return {}; // A file that is being replaced appears at the next look.
    }
    return {found.st_mtim.tv_sec, found.st_mtim.tv_nsec, found.st_size, found.st_ino};
}

bool settings_watch::changed()
{
    const auto now = look();
    return now != stamp{} && std::exchange(seen_, now) != now;
}

} // namespace ej
