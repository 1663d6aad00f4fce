#include "process_usage.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace ej::measure {

namespace {

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

double processor_seconds(const std::filesystem::path& folder)
{
    const auto text = read_file(folder / "stat");
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    constexpr int fields_before_user_time = 11;
    std::string skipped;
    for (int i = 0; i < fields_before_user_time; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t wakeups(const std::filesystem::path& thread)
{
    std::istringstream lines(read_file(thread / "status"));
    const std::string name = "voluntary_ctxt_switches:";
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size()));
        }
    }
    return 0;
}

} // namespace

process_usage usage_of(pid_t process)
{
    const auto folder = std::filesystem::path("/proc") / std::to_string(process);
    if (!std::filesystem::exists(folder)) {
        return {};
    }
    process_usage usage;
    usage.processor_seconds = processor_seconds(folder);
    std::istringstream pages(read_file(folder / "statm"));
    std::uint64_t all = 0;
    std::uint64_t resident = 0;
    pages >> all >> resident;
    usage.resident_bytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    for (const auto& thread : std::filesystem::directory_iterator(folder / "task")) {
        usage.wakeups += wakeups(thread.path());
    }
    return usage;
}

} // namespace ej::measure
