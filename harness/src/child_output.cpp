#include "child_output.h"

#include <unistd.h>

#include <algorithm>
#include <array>

namespace ej::harness {

namespace {

constexpr std::size_t buffer_bytes = 4'096;
constexpr std::size_t lines_kept = 100;

} // namespace

child_output::child_output(int descriptor)
    : descriptor_(descriptor), reader_([this] { read_all(); })
{
}

child_output::~child_output()
{
    reader_.join();
    ::close(descriptor_);
}

std::optional<std::string> child_output::wait_for_line(const std::string& prefix)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return ended_ || find(prefix); });
    return find(prefix);
}

void child_output::read_all()
{
    std::array<char, buffer_bytes> buffer{};
    std::string line;
    for (ssize_t count = 0; (count = ::read(descriptor_, buffer.data(), buffer.size())) > 0;) {
        for (const char letter : std::string_view(buffer.data(), static_cast<std::size_t>(count))) {
            if (letter != '\n') {
                line += letter;
                continue;
            }
            const std::scoped_lock lock(mutex_);
            if (lines_.size() < lines_kept) {
                lines_.push_back(line);
            }
            line.clear();
        }
        changed_.notify_all();
    }
    const std::scoped_lock lock(mutex_);
    ended_ = true;
    changed_.notify_all();
}

std::optional<std::string> child_output::find(const std::string& prefix) const
{
    const auto found = std::ranges::find_if(
        lines_, [&](const std::string& line) { return line.starts_with(prefix); });
    if (found == lines_.end()) {
        return std::nullopt;
    }
    return found->substr(prefix.size());
}

} // namespace ej::harness
