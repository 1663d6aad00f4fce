#include "process_log.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <system_error>

namespace ej::process_tests {

process_log::process_log()
    : path_(std::filesystem::temp_directory_path() /
            ("forward-" + std::to_string(::getpid()) + ".log"))
{
    std::filesystem::remove(path_);
}

process_log::~process_log()
{
    std::error_code ignored; // A file left behind does no harm.
    std::filesystem::remove(path_, ignored);
}

bool process_log::has(const std::string& part) const
{
    return text().find(part) != std::string::npos;
}

core::address process_log::address(const std::string& name) const
{
    const auto lines = text();
    const auto place = lines.find(name + '=', lines.find("started"));
    if (place == std::string::npos) {
        throw std::runtime_error("the daemon has not logged its addresses");
    }
    const auto begin = place + name.size() + 1;
    const auto found =
        core::parse_address(lines.substr(begin, lines.find_first_of(" \n", begin) - begin));
    if (!found) {
        throw std::runtime_error("the daemon logged an invalid address");
    }
    return *found;
}

std::string process_log::text() const
{
    std::ifstream file(path_);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace ej::process_tests
